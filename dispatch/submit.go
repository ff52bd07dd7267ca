package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admission"
)

// Parameters of admission.
const (
	// usableShare is the part of the processors that placement can fill; the remainder is lost to fragmentation.
	usableShare = 0.85
	// storeRetryWait is the time after which callers should try again while the store is down.
	storeRetryWait = 2 * time.Second
	// minWait and maxWait bound the time after which a refused caller should try again, before up to half of it is
	// added at random.
	minWait = time.Second
	maxWait = 8 * time.Second
	// spreadShare is the largest part of a wait that is added at random.
	spreadShare = 0.5
	// remainingShare is the mean remaining time of a running task, as a part of the objective of its job. It assumes a
	// job of two equal steps with about as much slack as running time, and half a step remaining.
	remainingShare = 1.0 / 8
	// stepOverhead is the delay between the end of a task and the start of the next step.
	stepOverhead = 80 * time.Millisecond
	// ratioWeight is the weight of a new observation in the ratio of durations to estimates.
	ratioWeight = 0.03
	// maxRatios bounds the queues whose ratio is kept. A new owner learns the ratios again.
	maxRatios = 4096
	// slowdownWeight is the weight of a new observation in the slowdown of a worker.
	slowdownWeight = 0.2
	// maxRatio bounds an observed ratio of duration to estimate, and that of a worker's duration to the queue's mean.
	maxRatio = 4.0
	// defaultEstimate is used for steps without a declared duration.
	defaultEstimate = time.Second
	// usefulFactor is the multiple of a job's objective after which its result is useless to the caller.
	usefulFactor = 3
	// waveShare is the part of the pool that a step can use at once; a larger step counts as running in several waves.
	waveShare = 0.25
)

// Submit processes the submission of a job by a client account, which may be empty. reply is called once the outcome is known,
// possibly before Submit returns.
func (s *Service) Submit(now time.Time, id string, spec *cuminstair.JobSpec, queue cuminstair.WorkQueue, account string, reply func(Result)) {
	if j, ok := s.jobs[id]; ok {
		if !s.MayAccess(id, account) {
			reply(Result{Outcome: Forbidden, Why: otherAccount})
			return
		}
		if j.stored {
			reply(Result{Outcome: Accepted, Why: "known"})
			return
		}
		j.submitWaiters = append(j.submitWaiters, reply)
		return
	}
	if s.closedTo(&queue) {
		s.refuse(now, id, Result{Outcome: Moved, Wait: s.spread(minWait), Why: "the queue has gone to another service"}, reply)
		return
	}
	j := newJob(id, spec, queue)
	j.account = account
	j.firstSent, j.receivedAt, j.token = now, now, s.Token
	if r, ok := s.denied[id]; ok && now.Sub(r.first) <= deniedTTL {
		j.firstSent = r.first
	}
	j.due = s.objective(j, j.firstSent)
	s.observeOffer(now, j)
	if r := s.readiness(); r.Outcome != Accepted {
		s.refuse(now, id, r, reply)
		return
	}
	if r := s.admit(now, j); r.Outcome != Accepted {
		s.refuse(now, id, r, reply)
		return
	}
	delete(s.denied, id)
	s.jobs[id] = j
	s.counts.Accepted++
	j.submitWaiters = append(j.submitWaiters, reply)
	s.markDirty(j)
}

// readiness returns the refusal of any job that comes now, if the service can't accept work.
func (s *Service) readiness() Result {
	if s.storeDown || s.deposed || s.stopping {
		return Result{Outcome: Unavailable, Wait: s.spread(storeRetryWait), Why: "no store"}
	}
	if delay, ok := s.acceptanceDelay(); !ok {
		return Result{Outcome: Unavailable, Wait: s.spread(min(max(delay, minWait), maxWait)), Why: "the store is too slow to accept it in time"}
	}
	return Result{Outcome: Accepted}
}

// observeOffer adds a job that is submitted for the first time to the demand. Jobs that are refused because the store is
// down count too: their callers come again, and hosts for them can be moved meanwhile.
func (s *Service) observeOffer(now time.Time, j *job) {
	if r := s.denied[j.id]; !r.first.IsZero() || j.longRunning() {
		return
	}
	s.recordOffered(now, s.totalWork(j))
	s.recordAccountOffer(now, j)
	if s.meanObjective == 0 {
		s.meanObjective = j.due.Sub(now)
	}
	s.meanObjective += time.Duration(objectiveWeight * float64(j.due.Sub(now)-s.meanObjective))
}

// spread adds up to spreadShare of a wait at random, so that refused callers do not return together.
func (s *Service) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(s.Rand.Float64()*spreadShare*float64(wait))
}

func (s *Service) refuse(now time.Time, id string, r Result, reply func(Result)) {
	s.counts.Refused++
	s.recordRefusal(now, id, now)
	s.Log.Info("dispatch: job refused", append([]any{
		"service", s.Name, "job", id, "why", r.Why, "wait", r.Wait.Round(time.Millisecond).String(), "open", len(s.active), "used", s.usedShare(),
	}, r.inputs...)...)
	reply(r)
}

// denial is what is kept of a job that was refused, or whose cancellation found no job.
type denial struct {
	first  time.Time // first submission; zero: none is known
	latest time.Time // latest answer that said so
	roomAt time.Time // from when its account has room for it, as promised to the caller; zero: not promised
}

// recordRefusal records that a job first submitted at first was refused.
func (s *Service) recordRefusal(now time.Time, id string, first time.Time) {
	r := s.denied[id]
	if now.Sub(r.first) > deniedTTL {
		r.first = first
	}
	r.latest = now
	s.denied[id] = r
}

// recordNotFound records that a job was not there when it should be cancelled.
func (s *Service) recordNotFound(now time.Time, id string) {
	r := s.denied[id]
	r.latest = now
	s.denied[id] = r
}

// forgetDenials deletes old denials. It does not depend on writes, which may take long.
func (s *Service) forgetDenials(now time.Time) {
	if now.Sub(s.forgotAt) < sweepInterval {
		return
	}
	s.forgotAt = now
	for id, r := range s.denied {
		if now.Sub(r.latest) > deniedTTL {
			delete(s.denied, id)
		}
	}
}

// MayBeLate reports whether the submission of a job may be a late copy of a call that was answered otherwise: it is not if its
// sender was waiting for the answer after the latest denial of the job. openAt is a time at which, or after which, it was;
// zero if none is known. Denials are kept for deniedTTL only,
// so that an older openAt proves nothing. A submission of a known job changes nothing.
func (s *Service) MayBeLate(now time.Time, id string, openAt time.Time) bool {
	if _, known := s.jobs[id]; known {
		return false
	}
	if now.Sub(openAt) >= deniedTTL {
		return true
	}
	r, ok := s.denied[id]
	return ok && !r.latest.Before(openAt)
}

// CancelMayBeLate reports whether the cancellation of a job may be a late copy of a call that was sent before the job was
// submitted here. openAt is as for MayBeLate.
func (s *Service) CancelMayBeLate(now time.Time, id string, openAt time.Time) bool {
	if now.Sub(openAt) >= deniedTTL {
		return true
	}
	j, known := s.jobs[id]
	return known && openAt.Before(j.receivedAt)
}

// admit decides whether a job is accepted.
func (s *Service) admit(now time.Time, j *job) Result {
	if j.queue.Advised && !s.Adviser {
		return Result{Outcome: Impossible, Wait: maxWait, Why: "the queue needs advice, and the settings name no adviser"}
	}
	if n := len(j.jobValue()); n > maxValue {
		return Result{Outcome: Impossible, Wait: maxWait, Why: fmt.Sprintf("its record has %d bytes, at most %d can be stored", n, maxValue)}
	}
	if why := s.whyImpossible(j); why != "" {
		return Result{Outcome: Impossible, Wait: maxWait, Why: why}
	}
	if s.exceedsLimit(j) {
		return Result{Outcome: Impossible, Wait: maxWait, Why: "a task or a gang needs more than the limit of the account", inputs: s.limitFields(now, j.account)}
	}
	if j.longRunning() || j.spec.Repeats > 0 || j.spec.First > 0 {
		return Result{Outcome: Accepted}
	}
	request := s.admissionRequest(j)
	pool := s.pool(now)
	above := s.applyShare(now, j, pool, &request)
	v := admission.Decide(now, pool, s.recentLoad(now), request)
	if above && (!v.Accept || v.Late) {
		return s.refuseAboveShare(now, j, &request, v.LateFinish)
	}
	if v.Accept {
		j.late = v.Late
		if r := s.admitWithinLimit(now, j, request); r.Outcome != Accepted {
			return r
		}
		s.loads = append(s.loads, admission.Load{
			Due: request.Due, Expiry: request.Expiry, Work: request.Work, Ready: request.Width * s.expectedDuration(j, 0).Seconds(), Late: v.Late,
			Class: request.Class, Yields: above,
		})
		s.recordAccepted(now, j, request.Work)
		return Result{Outcome: Accepted}
	}
	wait := min(max(v.Wait, minWait), maxWait)
	return Result{Outcome: Refused, Wait: s.spread(wait), Why: "no room in time"}
}

// admissionRequest returns what admission is asked about a job, without the share of its account.
func (s *Service) admissionRequest(j *job) admission.Job {
	request := admission.Job{Due: j.due, Expiry: usefulUntil(j.firstSent, j.due), CriticalPath: criticalPath(j.spec.Steps, func(i int) time.Duration {
		return s.expectedDuration(j, i) + stepOverhead + adviceDuration(&j.queue, maxAdviceWorkers)
	})}
	request.Work, request.Width = s.totalWork(j), s.firstWidth(j)
	return request
}

// totalWork returns the work of one occurrence of a job in core-seconds.
func (s *Service) totalWork(j *job) float64 {
	work := 0.0
	for i := range j.spec.Steps {
		work += s.taskWork(j, i) * float64(j.spec.Steps[i].Count)
	}
	return work
}

// whyImpossible returns the reason why no worker can ever run a job, or "". Without known workers, or while a worker may have come back as
// another kind, no job is ruled out.
func (s *Service) whyImpossible(j *job) string {
	if len(s.workers) == 0 {
		return ""
	}
	for _, w := range s.workers {
		if w.entryDue() {
			return ""
		}
	}
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		probe := step{JobStep: *st}
		possible := false
		for _, w := range s.workers {
			if w.listed && probe.room().Fits(w.total) && hasLabel(st.Label, w.info.Labels) {
				possible = true
				break
			}
		}
		if !possible {
			return "no worker is large enough or has the label"
		}
	}
	return ""
}

func hasLabel(label string, labels []string) bool {
	if label == "" {
		return true
	}
	for _, l := range labels {
		if l == label {
			return true
		}
	}
	return false
}

// pool returns the capacity that short tasks may use.
func (s *Service) pool(now time.Time) admission.Pool {
	p := admission.Pool{Utilization: usableShare}
	largest := 0
	for _, w := range s.workers {
		largest = max(largest, w.cpu)
		if w.entryDue() {
			p.Cores += float64(w.cpu) / 1000 // most workers come back as they were
			continue
		}
		if !w.listed || w.gone || !w.leavingSince.IsZero() || w.suspect() || s.isCutOff(now, w) {
			continue
		}
		p.Cores += float64(w.total.CPU) / 1000
		p.Free += w.freeCores()
	}
	p.MeanRemaining = time.Duration(remainingShare * float64(s.meanObjective))
	each := float64(largest) / 1000
	p.ExtraCores, p.ExtraDelay = float64(s.incoming)*each, incomingDelay
	if more := availableShare * float64(s.available) * each; more > p.ExtraCores {
		p.ExtraCores, p.ExtraDelay = p.ExtraCores+more, availableDelay
	}
	for _, j := range s.active {
		for _, o := range j.runs {
			for _, st := range o.steps {
				if st.LongRunning && !st.BestEffort {
					p.Cores -= float64(st.tasksLeft) * s.taskCores(&st.JobStep)
				}
			}
		}
	}
	return p
}

// maxLoadAge is how long the list of accepted work is reused for admission decisions. Jobs accepted meanwhile are added
// to it.
const maxLoadAge = 60 * time.Millisecond

// recentLoad returns the accepted work as load computed it at most maxLoadAge ago, plus the jobs accepted since.
func (s *Service) recentLoad(now time.Time) []admission.Load {
	if now.Sub(s.loadsAt) > maxLoadAge {
		s.loads, s.loadsAt = s.load(now), now
		s.listLimitLoads(now)
	}
	return s.loads
}

// load returns the accepted work that is not done. Long-running tasks are not included; pool subtracts their cores.
func (s *Service) load(now time.Time) []admission.Load {
	var list []admission.Load
	for _, j := range s.jobs {
		if l := s.jobLoad(now, j); l.Work > 0 {
			list = append(list, l)
		}
	}
	return list
}

// jobLoad returns the work of an accepted job that is not done, without its long-running tasks.
func (s *Service) jobLoad(now time.Time, j *job) admission.Load {
	if j.finished() || (j.stored && s.active[j.id] == nil) {
		return admission.Load{}
	}
	work, begun := 0.0, 0.0
	if len(j.runs) == 0 {
		for i := range j.spec.Steps {
			if !j.spec.Steps[i].LongRunning {
				work += s.taskWork(j, i) * float64(j.spec.Steps[i].Count)
			}
		}
	}
	ready, late := 0.0, j.late || j.due.Before(now)
	for _, o := range j.runs {
		all, running := s.remainingWork(now, o)
		work, begun = work+all, begun+running
		ready += s.runnableWork(o)
		late = late || s.late(now, o)
	}
	return admission.Load{
		Due: j.due, Expiry: usefulUntil(j.firstSent, j.due), Work: work, Ready: ready, Late: late,
		Class: s.class(now, j), Yields: s.yields(now, j), Begun: begun,
	}
}

// firstWidth returns the cores that the first steps of a job, which depend on no other step, can use together.
// Best-effort steps are not included.
func (s *Service) firstWidth(j *job) float64 {
	width := 0.0
	for i := range j.spec.Steps {
		if st := &j.spec.Steps[i]; len(st.After) == 0 && !st.BestEffort {
			width += float64(st.Count) * s.taskCores(st)
		}
	}
	return width
}

// runnableWork returns the work, in core-seconds, of the tasks of an occurrence that are ready to run and wait for room.
func (s *Service) runnableWork(o *occurrence) float64 {
	work := 0.0
	for _, st := range o.steps {
		if !st.queued || st.LongRunning {
			continue
		}
		each := s.taskWork(o.job, st.index)
		for _, t := range st.tasks {
			if !t.done && t.attempt == nil {
				work += each
			}
		}
	}
	return work
}

// late reports whether waiting tasks of an occurrence have passed their latest start.
func (s *Service) late(now time.Time, o *occurrence) bool {
	for _, st := range o.steps {
		if st.queued && s.latestStart(st).Before(now) && hasWaitingTask(st) {
			return true
		}
	}
	return false
}

// remainingWork returns the remaining work of an occurrence in core-seconds, and the part of it in tasks that run.
func (s *Service) remainingWork(now time.Time, o *occurrence) (work, running float64) {
	for _, st := range o.steps {
		if st.LongRunning || st.tasksLeft == 0 {
			continue
		}
		each := s.taskWork(o.job, st.index)
		work += each * float64(st.tasksLeft)
		if !st.started {
			continue
		}
		for _, t := range st.tasks {
			if t.attempt == nil {
				continue
			}
			running += each
			if !t.attempt.answeredAt.IsZero() && t.attempt.expected > 0 {
				done := each * min(0.95, now.Sub(t.attempt.answeredAt).Seconds()/t.attempt.expected.Seconds())
				work -= done
				running -= done
			}
		}
	}
	return work, running
}

// expectedDuration returns the estimate of step i, or defaultEstimate, multiplied by the ratio of the job's queue.
func (s *Service) expectedDuration(j *job, i int) time.Duration {
	estimate := j.spec.Steps[i].Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	ratio := s.ratio[j.queue.Name]
	if ratio == 0 {
		ratio = 1
	}
	return time.Duration(float64(estimate) * ratio)
}

// taskWork returns the expected work of one task of a step in core-seconds.
func (s *Service) taskWork(j *job, i int) float64 {
	return s.taskCores(&j.spec.Steps[i]) * s.expectedDuration(j, i).Seconds()
}

// taskCores returns the cores that a task of a step uses up on a worker: its processors, or the processors that its
// share of the memory makes unusable, whichever is more.
func (s *Service) taskCores(st *cuminstair.JobStep) float64 {
	cpu := float64(st.CPU)
	if st.BestEffort {
		cpu = 0
	}
	if s.hostMemory > 0 {
		cpu = max(cpu, float64(st.Memory)*float64(s.hostCPU)/float64(s.hostMemory))
	}
	return cpu / 1000
}

func (s *Service) pathsAfter(j *job) []time.Duration {
	return pathsAfter(j.spec.Steps, func(i int) time.Duration { return s.expectedDuration(j, i) })
}

// objective returns when a job submitted at from should be done.
func (s *Service) objective(j *job, from time.Time) time.Time {
	width := s.stepWidth(j)
	longest := criticalPath(j.spec.Steps, func(i int) time.Duration {
		st := &j.spec.Steps[i]
		waves := 1.0
		if width > 0 {
			waves = max(1, math.Ceil(float64(st.Count*st.CPU)/1000/width))
		}
		return time.Duration(float64(s.expectedDuration(j, i))*waves) + adviceDuration(&j.queue, maxAdviceWorkers)
	})
	return from.Add(time.Duration(float64(longest)*max(1, j.queue.TargetFactor)) + j.queue.Target)
}

// usefulUntil returns when the result of a job submitted at sent with due time due stops being useful.
func usefulUntil(sent, due time.Time) time.Time { return sent.Add(usefulFactor * due.Sub(sent)) }

// recordDuration updates the duration ratio of the queue and the slowdown of the worker from a finished task t, whose run a has
// ended. The queue is given one duration for each task: that of the copy which completed it.
func (s *Service) recordDuration(now time.Time, t *task, a *attempt) {
	if a.answeredAt.IsZero() || t.step.LongRunning || t.step.Estimate <= 0 || a.resumed {
		return
	}
	name := t.step.occ.job.queue.Name
	if s.ratio[name] == 0 {
		s.forgetRatios()
		s.ratio[name] = 1
	}
	took := now.Sub(a.sentAt).Seconds() / t.step.Estimate.Seconds()
	if s.runsRemote(t.step, a.worker) {
		took /= s.Bounds.RemoteFactor // estimates are of runs on the rack that the task wants
	}
	// The worker is compared with the mean of the queue, the queue with the declared estimates.
	a.worker.recordSlowdown(took / s.ratio[name])
	s.ratio[name] += ratioWeight * (min(maxRatio, took) - s.ratio[name])
}

// forgetRatios keeps the ratios within maxRatios: it drops half of them, those nearest to 1.
func (s *Service) forgetRatios() {
	if len(s.ratio) < maxRatios {
		return
	}
	distance := func(queue string) float64 { return math.Abs(math.Log(s.ratio[queue])) }
	names := slices.SortedFunc(maps.Keys(s.ratio), func(x, y string) int {
		return cmp.Or(cmp.Compare(distance(x), distance(y)), cmp.Compare(x, y))
	})
	for _, name := range names[:maxRatios/2] {
		delete(s.ratio, name)
	}
}

// recordSlowdown updates the slowdown of a worker from the ratio of a run's actual to expected duration.
func (w *worker) recordSlowdown(ratio float64) {
	if w.slowdown == 0 {
		w.slowdown = 1
	}
	w.slowdown += slowdownWeight * (min(maxRatio, ratio) - w.slowdown)
}

// usedShare returns the used fraction of the workers' processors or memory, whichever is larger for each worker.
func (s *Service) usedShare() float64 {
	used, total := 0.0, 0.0
	for _, w := range s.workers {
		if w.listed && !w.gone {
			total += float64(w.total.CPU) / 1000
			used += float64(w.total.CPU)/1000 - w.freeCores()
		}
	}
	if total == 0 {
		return 0
	}
	return math.Round(used/total*100) / 100
}
