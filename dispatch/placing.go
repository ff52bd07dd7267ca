package dispatch

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/place"
)

// placeAll starts tasks of the ready steps, the most urgent first.
func (s *Service) placeAll(now time.Time) {
	if !s.changed {
		return
	}
	s.changed, s.spaced, s.limitWaits = false, false, false
	s.unplaced, s.unplacedCores, s.waitingTrials = 0, 0, 0
	settled := s.inheritedResolved()
	if !settled {
		s.changed = true
	}
	if settled && !s.settled && len(s.inherited) > 0 {
		s.logSettled(now)
	}
	s.settled = settled
	kept := s.ready[:0]
	for _, st := range s.ready {
		if st.occ.job.finished() || !hasWaitingTask(st) {
			st.queued = false
			continue
		}
		kept = append(kept, st)
	}
	s.ready = kept
	for _, st := range s.ready {
		st.latestStart = s.latestStart(st)
		st.rank = s.rank(now, st)
		st.class = s.stepClass(now, st)
	}
	sort.SliceStable(s.ready, func(i, j int) bool { return moreUrgent(s.ready[i], s.ready[j]) })
	s.listCandidates(now)
	s.observeRacks(now)
	s.countTrials()
	s.countUnsure()
	for _, st := range s.ready {
		st.mayRun = st.occ.job.inherited && !settled && !st.followsAdopted() &&
			(!st.copyable() || now.Sub(s.takenOverAt) < copyDelay)
		s.placeStep(now, st)
	}
}

// listCandidates lists the workers that may be given tasks, and updates maxFree.
func (s *Service) listCandidates(now time.Time) {
	s.candidates = s.candidates[:0]
	clear(s.centreFree)
	for _, w := range s.workers {
		w.vacating = now.Before(w.vacateUntil)
		was := w.candidate
		usable := w.usable(now) && !s.isCutOff(now, w) && !s.outage.outdated(now, w)
		w.askFirst = usable && s.restartMayBeMissed(now, w)
		w.candidate = usable && !w.askFirst
		if w.candidate {
			s.changed = s.changed || !was // tasks may have waited for the end of a block or a cordon
			s.candidates = append(s.candidates, w)
			s.centreFree[w.info.Centre] += w.freeCores()
		}
	}
	s.expireReservations(now)
	s.maxFree = maxFreeOf(s.candidates)
}

// maxFreeOf returns the largest free amount of each resource, not necessarily on the same worker.
func maxFreeOf(list []*worker) place.Room {
	var most place.Room
	for _, w := range list {
		free := w.free()
		most.CPU, most.Memory, most.Accel = max(most.CPU, free.CPU), max(most.Memory, free.Memory), max(most.Accel, free.Accel)
	}
	return most
}

func hasWaitingTask(st *step) bool {
	if st.tasksLeft == 0 {
		return false
	}
	for _, t := range st.tasks {
		if !t.done && t.attempt == nil {
			return true
		}
	}
	return false
}

// Ranks of steps; lower ranks are placed first.
const (
	rankInTime = iota // can finish in time
	rankLate          // finishes late, but the result is still useful
	rankStale         // its result comes too late to be useful
)

// rank returns the rank of a step; long-running steps always have rankInTime.
func (s *Service) rank(now time.Time, st *step) int {
	if st.LongRunning {
		return rankInTime
	}
	from, due := st.occ.objectiveStart(), s.dueOf(st.occ)
	switch after := st.pathAfter + s.expectedDuration(st.occ.job, st.index); {
	case now.Add(after).After(usefulUntil(from, due)):
		return rankStale
	case st.occ.job.late, st.latestStart.Before(now):
		return rankLate
	}
	return rankInTime
}

// moreUrgent reports whether step a is placed before step b: long-running steps come first, then steps that are not
// best-effort, then those with the lower rank, then those of the lower class, then those with the earlier latest start.
func moreUrgent(a, b *step) bool {
	if a.LongRunning != b.LongRunning {
		return a.LongRunning
	}
	if a.BestEffort != b.BestEffort {
		return b.BestEffort
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.class != b.class {
		return a.class < b.class
	}
	return a.latestStart.Before(b.latestStart)
}

// latestStart returns the latest start of the tasks of a step for the job to finish in time.
func (s *Service) latestStart(st *step) time.Time {
	return s.dueOf(st.occ).Add(-st.pathAfter - s.expectedDuration(st.occ.job, st.index))
}

// dueOf returns when an occurrence should be done.
func (s *Service) dueOf(o *occurrence) time.Time {
	if o.startAt.IsZero() {
		return o.job.due
	}
	return s.objective(o.job, o.startAt)
}

// objectiveStart returns the time from which the objective of the occurrence is measured.
func (o *occurrence) objectiveStart() time.Time {
	if o.startAt.IsZero() {
		return o.job.firstSent
	}
	return o.startAt
}

// followsAdopted reports whether the earlier owner can't have started the step: a task of a step on which it depends
// still ran when this owner first read the lists of its worker, which have been closed to the earlier owner since. Steps
// that allow copies prove nothing, since their tasks may be done while another copy runs; nor do gangs, which any of their
// members ends, and steps before one that has begun.
func (st *step) followsAdopted() bool {
	if st.startedEarlier {
		return false
	}
	for _, i := range st.After {
		before := st.occ.steps[i]
		if before.followsAdopted() {
			return true
		}
		if before.Duplicates || before.Gang {
			continue
		}
		for _, t := range before.tasks {
			if t.adopted {
				return true
			}
		}
	}
	return false
}

// mayRun reports whether a run of the task that an earlier owner started may still be active on a worker that has not
// answered. An adopted task has no other run.
func (t *task) mayRun() bool { return t.step.mayRun && !t.adopted }

// startable reports whether a task of a ready step may be started now: it has no run, and none that may be active elsewhere.
func (s *Service) startable(t *task) bool {
	return !t.done && t.attempt == nil && !t.mayRun() && t.mayStart() && s.lossIsCertain(t)
}

// lossIsCertain reports whether a lost run of the task may be taken for undone. A new owner could have read the end of the run
// before its worker was gone, so that there must be none: the store has confirmed this owner since, or this daemon wrote to
// it a moment ago.
func (s *Service) lossIsCertain(t *task) bool {
	if t.lostAt.IsZero() || s.confirmedAt.After(t.lostAt) || s.now.Sub(s.aliveAt) < AliveTime {
		return true
	}
	s.spaced = true
	return false
}

func (s *Service) placeStep(now time.Time, st *step) {
	if !st.room().Fits(s.maxFree) && !st.LongRunning {
		s.queueWaiting(st, st.tasks)
		return
	}
	s.beginStep(now, st)
	s.placeGroup(now, st)
	if st.Gang {
		s.placeGang(now, st)
		return
	}
	racks := s.spreadOf(st)
	s.preferCentre(st)
	placed := 0
	for i, t := range st.tasks {
		if !s.startable(t) {
			continue
		}
		if !s.withinLimit(t) {
			break
		}
		w, waits := s.chooseOrWait(now, st, t, racks)
		if waits {
			continue
		}
		if w == nil && st.needsTicket() {
			s.requestAdvice(now, st)
			break
		}
		if w == nil && t.needsTrial() {
			s.reserveForTrial(now, st, t)
			continue
		}
		if w == nil && st.LongRunning {
			s.reserve(now, st, t)
			continue
		}
		if w == nil {
			if len(t.avoidWorker) == 0 && st.PerWorker == 0 && st.Label == "" {
				s.maxFree = maxFreeOf(s.candidates)
			}
			s.queueWaiting(st, st.tasks[i:])
			break
		}
		s.start(now, t, w, max(t.run, s.Token*runsPerToken)+1)
		racks.add(w)
		placed++
	}
	if placed > 0 {
		s.logPlaced(st, placed)
	}
}

// logPlaced logs one line for the tasks of a step that were placed together.
func (s *Service) logPlaced(st *step, placed int) {
	var list strings.Builder
	for _, o := range s.orders[len(s.orders)-placed:] {
		fmt.Fprintf(&list, "%d:%d@%s ", o.Task.Index, o.Run, o.Worker.ID)
	}
	s.Log.Info("dispatch: tasks placed", "service", s.Name, "job", st.occ.job.id, "step", st.index,
		"tasks", strings.TrimSpace(list.String()), "waiting", st.tasksLeft, "workers", len(s.candidates), "free", s.maxFree.CPU,
		"grounds", s.grounds(st))
}

// grounds names for the log why no run of an earlier owner of the tasks of a step may be active.
func (s *Service) grounds(st *step) string {
	switch {
	case !st.occ.job.inherited:
		return "new job"
	case s.settled:
		return "settled"
	case st.followsAdopted():
		return "follows a found task"
	case st.copyable():
		return "copies allowed"
	}
	return "found task"
}

// spread counts the tasks of a step by rack. It is nil for short steps without a limit of tasks per worker, whose tasks need
// not be spread.
type spread map[string]int

func (s *Service) spreadOf(st *step) spread {
	if st.PerWorker == 0 && !st.LongRunning {
		return nil
	}
	n := spread{}
	for _, t := range st.tasks {
		if t.attempt != nil {
			n.add(t.attempt.worker)
		}
	}
	return n
}

func (n spread) add(w *worker) {
	if n != nil {
		n[w.rack]++
	}
}

// placeGang starts the tasks of a gang together or not at all.
func (s *Service) placeGang(now time.Time, st *step) {
	run := s.Token * runsPerToken
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		if !s.startable(t) {
			return // a task of the previous run has not ended yet
		}
		run = max(run, t.run)
	}
	if st.rack.waits || !s.gangWithinLimit(st) {
		return
	}
	s.preferCentre(st)
	if !s.startGang(now, st, run+1) && st.rack.only != "" {
		st.rack.only, st.rack.first, st.rack.split = "", "", false // findRackFits does not check all conditions of choose
		s.startGang(now, st, run+1)
	}
}

// startGang starts the tasks of a gang as a run, and reports whether there is room for all.
func (s *Service) startGang(now time.Time, st *step, run int64) bool {
	racks := s.spreadOf(st)
	mark := len(s.orders)
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		w := s.choose(st, t, racks)
		if w == nil && st.needsTicket() {
			defer s.requestAdvice(now, st)
		}
		if w == nil {
			for _, o := range s.orders[mark:] {
				o.attempt.worker.remove(now, o.attempt)
				o.attempt.task.attempt = nil
				o.attempt.task.run--
			}
			s.orders = s.orders[:mark]
			return false
		}
		s.start(now, t, w, run)
		racks.add(w)
	}
	s.logPlaced(st, len(s.orders)-mark)
	return true
}

// choose returns the candidate with the lowest score that may run the task and has room for it, or nil.
func (s *Service) choose(st *step, t *task, racks spread) *worker {
	want := wantOf(st)
	risky := !st.LongRunning && s.atRisk(s.now, st.occ.job.queue.Name)
	var best *worker
	low := 0.0
	for _, w := range s.candidates {
		if !want.Room.Fits(w.free()) || !s.admits(w, t) || !s.eligible(st, t, w) || (st.rack.only != "" && st.rack.only != w.rack) {
			continue
		}
		if risky && !t.needsTrial() && s.now.Sub(w.riskyStart) < startSpacing {
			s.spaced = true
			continue
		}
		c := scored(st, w, racks, risky)
		if score, ok := place.Score(&want, &c); ok && (best == nil || score < low) {
			best, low = w, score
		}
	}
	return best
}

func wantOf(st *step) place.Want {
	return place.Want{Room: st.room(), Spread: st.LongRunning, Quiet: st.LongRunning || st.BestEffort}
}

// scored returns what the score of a worker for a task of a step depends on. risky is whether the task may crash the worker.
func scored(st *step, w *worker, racks spread, risky bool) place.Candidate {
	c := place.Candidate{
		Free: w.free(), Total: w.total, Slowdown: max(1, w.slowdown), LongRunning: w.longRunning,
		MaintenanceDue: w.vacating, SameRack: racks[w.rack],
		RemoteData:  st.DataRack != "" && st.DataRack != w.rack,
		OtherCentre: st.occ.centre != "" && st.occ.centre != w.info.Centre,
		Endangered:  risky && w.longRunning > 0,
	}
	if racks != nil {
		c.SameStep = w.stepRuns[stepOf(cuminstair.TaskID{Job: st.occ.job.id, Occurrence: st.occ.number, Step: st.index})]
	}
	if c.Interfering = w.bestEffort; st.BestEffort {
		c.Interfering = w.longRunning
	}
	return c
}

// eligible reports whether a worker may run a task, regardless of its free room. Runs of the step count until they have ended,
// also those that have another copy elsewhere or are being stopped.
func (s *Service) eligible(st *step, t *task, w *worker) bool {
	switch {
	case t.avoidWorker == w.info.ID && len(s.candidates) > 1 && s.now.Before(t.avoidUntil):
		s.spaced = true // it may start there later
		return false
	case st.PerWorker > 0 && w.stepRuns[stepOf(t.id)] >= st.PerWorker:
		return false
	case !hasLabel(st.Label, w.info.Labels), st.needsTicket() && st.ticketFor(s.now, w) == "":
		return false
	}
	return w.attempts[t.id] == nil
}

func (s *Service) start(now time.Time, t *task, w *worker, run int64) {
	j, st := t.step.occ.job, t.step
	t.run, t.lostAt = run, time.Time{}
	a := &attempt{
		task: t, id: t.id, run: run, room: st.room(), account: j.account, charge: chargeOf(&st.JobStep), longRunning: st.LongRunning, bestEffort: st.BestEffort,
		runTimes: runTimes{sentAt: now}, cpuShare: 100, expected: s.expectedDuration(j, st.index), resumed: t.startFrom() != "",
	}
	if st.recordRack(w); s.runsRemote(st, w) {
		a.expected = time.Duration(s.Bounds.RemoteFactor * float64(a.expected))
	}
	t.attempt = a
	w.add(a)
	if s.atRisk(now, j.queue.Name) {
		w.riskyStart = now
	}
	if t.needsTrial() {
		s.startTrial(now, a)
	}
	if w.reservedFor == t {
		w.reservedFor = nil
	}
	s.centreFree[w.info.Centre] -= s.taskCores(&st.JobStep)
	s.counts.Starts++
	if !st.LongRunning && !st.BestEffort {
		s.stragglers.Started(now, s.taskCores(&st.JobStep)*a.expected.Seconds())
	}
	order := cuminstair.StartOrder{
		Task: t.id, Run: run, Payload: j.spec.Payload, Lease: s.nextLease(now, w), Token: s.Token, Checkpoint: t.startFrom(),
		Ticket: st.ticketFor(now, w),
	}
	s.orders = append(s.orders, Order{Kind: OrderStart, Worker: w.info, Task: t.id, Run: run, Token: s.Token, Start: order, attempt: a})
}
