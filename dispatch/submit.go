package dispatch

import (
	"math"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admission"
)

// Times and shares of admission.
const (
	// fillShare is the part of the processors that placement fills; the rest is stranded between tasks.
	fillShare = 0.85
	// awayWait is when callers come again while the service can't store work.
	awayWait = 2 * time.Second
	// minWait and maxWait bound the time after which a refused caller comes again.
	minWait = time.Second
	maxWait = 8 * time.Second
	// restShare is the mean time until a running task ends as a part of the objective of its job, which has two steps
	// and about as much time to spare.
	restShare = 1.0 / 8
	// stepCost is the time between the end of a task and the start of the next step.
	stepCost = 80 * time.Millisecond
	// ratioWeight is the weight of a new observation in the ratio of durations to estimates.
	ratioWeight = 0.03
	// slowWeight is the weight of a new observation in the slowness of a worker.
	slowWeight = 0.2
	// maxRatio bounds what one task can teach.
	maxRatio = 4.0
	// defaultEstimate stands for a duration that was not declared.
	defaultEstimate = time.Second
	// usefulFor is the multiple of its objective up to which the result of a job is of use to its caller.
	usefulFor = 3
	// waveShare is the part of the pool above which a step counts as running in several waves.
	waveShare = 0.25
)

// Submit takes a job that a caller hands in. reply is called when its fate is known, perhaps at once.
func (s *Service) Submit(now time.Time, id string, spec *cuminstair.JobSpec, queue cuminstair.WorkQueue, reply func(Result)) {
	if j, ok := s.jobs[id]; ok {
		if j.stored {
			reply(Result{Outcome: Accepted, Why: "known"})
			return
		}
		j.accepted = append(j.accepted, reply)
		return
	}
	if s.storeDown || s.deposed || s.stopping {
		s.refuse(now, id, Result{Outcome: Away, Wait: awayWait, Why: "no store"}, reply)
		return
	}
	j := newJob(id, spec, queue)
	j.sent, j.arrived = now, now
	if first, ok := s.refused[id]; ok {
		j.sent = first
	}
	j.due = s.objective(j, j.sent)
	if _, again := s.refused[id]; !again && !j.longRunning() {
		s.offer(now, s.total(j))
		if s.meanObjective == 0 {
			s.meanObjective = j.due.Sub(now)
		}
		s.meanObjective += time.Duration(objectiveWeight * float64(j.due.Sub(now)-s.meanObjective))
	}
	if r := s.admit(now, j); r.Outcome != Accepted {
		s.refuse(now, id, r, reply)
		return
	}
	delete(s.refused, id)
	s.jobs[id] = j
	s.counts.Accepted++
	j.accepted = append(j.accepted, reply)
	s.touch(j)
}

func (s *Service) refuse(now time.Time, id string, r Result, reply func(Result)) {
	s.counts.Refused++
	if _, ok := s.refused[id]; !ok {
		s.refused[id] = now
	}
	s.Log.Info("dispatch: job refused", "service", s.Name, "job", id, "why", r.Why, "wait", r.Wait.Round(time.Millisecond).String(), "open", len(s.active),
		"used", s.usedShare())
	reply(r)
}

// admit decides whether a job is taken.
func (s *Service) admit(now time.Time, j *job) Result {
	if j.queue.Advised && !s.Adviser {
		return Result{Outcome: Never, Wait: maxWait, Why: "the queue needs advice, and the settings name no adviser"}
	}
	if why := s.impossible(j); why != "" {
		return Result{Outcome: Never, Wait: maxWait, Why: why}
	}
	if j.longRunning() || j.spec.Repeats > 0 || j.spec.First > 0 {
		return Result{Outcome: Accepted}
	}
	ask := admission.Ask{Due: j.due, Use: useful(j.sent, j.due), Chain: chain(j.spec.Steps, func(i int) time.Duration { return s.length(j, i) + stepCost + adviceTime(&j.queue, adviceWorkers) })}
	ask.Work, ask.Width = s.total(j), s.firstWidth(j)
	v := admission.Decide(now, s.pool(now), s.recentLoad(now), ask)
	if v.Accept {
		j.late = v.Late
		s.loads = append(s.loads, admission.Load{
			Due: ask.Due, Use: ask.Use, Work: ask.Work, Front: ask.Width * s.length(j, 0).Seconds(), Late: v.Late,
		})
		return Result{Outcome: Accepted}
	}
	wait := min(max(v.Wait, minWait), maxWait)
	wait += time.Duration(s.Rand.Float64() * float64(wait) / 2)
	return Result{Outcome: Refused, Wait: wait, Why: "no room in time"}
}

// total is the work of one occurrence of a job in core-seconds.
func (s *Service) total(j *job) float64 {
	work := 0.0
	for i := range j.spec.Steps {
		work += s.work(j, i) * float64(j.spec.Steps[i].Count)
	}
	return work
}

// impossible explains why no worker can ever run a job, or returns nothing. Without workers nothing is known.
func (s *Service) impossible(j *job) string {
	if len(s.workers) == 0 {
		return ""
	}
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		probe := step{JobStep: *st}
		possible := false
		for _, w := range s.workers {
			if w.listed && probe.room().Fits(w.total) && matches(st.Label, w.info.Labels) {
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

func matches(label string, labels []string) bool {
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

// pool is the room that short tasks may use.
func (s *Service) pool(now time.Time) admission.Pool {
	p := admission.Pool{Share: fillShare}
	largest := 0
	for _, w := range s.workers {
		largest = max(largest, w.total.CPU)
		if !w.listed || w.gone || !w.leaving.IsZero() || w.suspect() || s.isCutOff(now, w) {
			continue
		}
		p.Cores += float64(w.total.CPU) / 1000
		p.Free += w.freeCores()
	}
	p.Rest = time.Duration(restShare * float64(s.meanObjective))
	each := float64(largest) / 1000
	p.More, p.Delay = float64(s.incoming)*each, incomingDelay
	if more := availableShare * float64(s.available) * each; more > p.More {
		p.More, p.Delay = p.More+more, availableDelay
	}
	for _, j := range s.active {
		for _, o := range j.runs {
			for _, st := range o.steps {
				if st.LongRunning && !st.BestEffort {
					p.Cores -= float64(st.left) * s.cores(&st.JobStep)
				}
			}
		}
	}
	return p
}

// loadAge is how old the sum of the accepted work may be for the decision about a job. Jobs that were accepted since are
// added to it.
const loadAge = 60 * time.Millisecond

// recentLoad is the accepted work as it was a short time ago.
func (s *Service) recentLoad(now time.Time) []admission.Load {
	if now.Sub(s.loadsAt) > loadAge {
		s.loads, s.loadsAt = s.load(now), now
	}
	return s.loads
}

// load is the accepted work that is not done. long-running tasks are taken out of the pool instead.
func (s *Service) load(now time.Time) []admission.Load {
	var list []admission.Load
	for _, j := range s.jobs {
		if j.over() || (j.stored && s.active[j.id] == nil) {
			continue
		}
		work := 0.0
		if len(j.runs) == 0 {
			for i := range j.spec.Steps {
				if !j.spec.Steps[i].LongRunning {
					work += s.work(j, i) * float64(j.spec.Steps[i].Count)
				}
			}
		}
		front, late := 0.0, j.late || j.due.Before(now)
		for _, o := range j.runs {
			work += s.left(now, o)
			front += s.front(o)
			late = late || s.late(now, o)
		}
		if work > 0 {
			list = append(list, admission.Load{Due: j.due, Use: useful(j.sent, j.due), Work: work, Front: front, Late: late})
		}
	}
	return list
}

// firstWidth is the cores that the steps of a job keep busy that wait for no others.
func (s *Service) firstWidth(j *job) float64 {
	width := 0.0
	for i := range j.spec.Steps {
		if st := &j.spec.Steps[i]; len(st.After) == 0 && !st.BestEffort {
			width += float64(st.Count) * s.cores(st)
		}
	}
	return width
}

// front is the work of an occurrence that could run now and waits for room.
func (s *Service) front(o *occurrence) float64 {
	work := 0.0
	for _, st := range o.steps {
		if !st.listed || st.LongRunning {
			continue
		}
		each := s.work(o.job, st.index)
		for _, t := range st.tasks {
			if !t.done && t.at == nil {
				work += each
			}
		}
	}
	return work
}

// late tells whether tasks of an occurrence wait that can't be started in time any more.
func (s *Service) late(now time.Time, o *occurrence) bool {
	for _, st := range o.steps {
		if st.listed && s.latest(st).Before(now) && waits(st) {
			return true
		}
	}
	return false
}

// left is the work of an occurrence that is not done, in core-seconds.
func (s *Service) left(now time.Time, o *occurrence) float64 {
	work := 0.0
	for _, st := range o.steps {
		if st.LongRunning || st.left == 0 {
			continue
		}
		each := s.work(o.job, st.index)
		work += each * float64(st.left)
		if !st.begun {
			continue
		}
		for _, t := range st.tasks {
			if t.at != nil && !t.at.answered.IsZero() && t.at.expected > 0 {
				work -= each * min(0.95, now.Sub(t.at.answered).Seconds()/t.at.expected.Seconds())
			}
		}
	}
	return work
}

// length is the expected duration of a task of a step.
func (s *Service) length(j *job, i int) time.Duration {
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

// work is the expected work of one task of a step in core-seconds.
func (s *Service) work(j *job, i int) float64 {
	return s.cores(&j.spec.Steps[i]) * s.length(j, i).Seconds()
}

// cores is what a task of a step takes of a worker: its processors, or the processors that its memory leaves without
// memory, if these are more.
func (s *Service) cores(st *cuminstair.JobStep) float64 {
	cpu := float64(st.CPU)
	if st.BestEffort {
		cpu = 0
	}
	if s.hostMemory > 0 {
		cpu = max(cpu, float64(st.Memory)*float64(s.hostCPU)/float64(s.hostMemory))
	}
	return cpu / 1000
}

func (s *Service) tails(j *job) []time.Duration {
	return tails(j.spec.Steps, func(i int) time.Duration { return s.length(j, i) })
}

// objective is when a job that was handed in at a time should be done.
func (s *Service) objective(j *job, from time.Time) time.Time {
	cores := s.mostCores
	longest := chain(j.spec.Steps, func(i int) time.Duration {
		st := &j.spec.Steps[i]
		waves := 1.0
		if cores > 0 {
			waves = max(1, math.Ceil(float64(st.Count*st.CPU)/1000/(cores*waveShare)))
		}
		return time.Duration(float64(s.length(j, i))*waves) + adviceTime(&j.queue, adviceWorkers)
	})
	return from.Add(time.Duration(float64(longest)*max(1, j.queue.Stretch)) + j.queue.Target)
}

// useful is when the result of a job is of no use any more that was handed in at sent and should be done at due.
func useful(sent, due time.Time) time.Time { return sent.Add(usefulFor * due.Sub(sent)) }

// learn takes the duration of a task that has ended as done.
func (s *Service) learn(now time.Time, a *attempt) {
	t := a.task
	if a.answered.IsZero() || t.step.LongRunning || t.step.Estimate <= 0 || a.resumed {
		return
	}
	name := t.step.occ.job.queue.Name
	if s.ratio[name] == 0 {
		s.ratio[name] = 1
	}
	took := now.Sub(a.sent).Seconds() / t.step.Estimate.Seconds()
	w := a.worker
	if w.slow == 0 {
		w.slow = 1
	}
	// A worker is compared with what is usual for the queue, the queue with what was declared.
	w.slow += slowWeight * (min(maxRatio, took/s.ratio[name]) - w.slow)
	s.ratio[name] += ratioWeight * (min(maxRatio, took) - s.ratio[name])
}

// Cancel stops a job. reply is called when the cancellation is stored.
func (s *Service) Cancel(now time.Time, id string, reply func(Result)) {
	j, ok := s.jobs[id]
	switch {
	case !ok:
		reply(Result{Outcome: NotFound})
		return
	case j.over() && j.shown == j.state:
		reply(Result{Outcome: Accepted, Why: "over already"})
		return
	}
	if !j.over() {
		s.finish(now, j, cuminstair.JobCancelled, "cancelled by the caller")
	}
	j.cancels = append(j.cancels, reply)
}

// usedShare is the part of the workers that tasks hold, of processors or memory, whichever is more.
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
