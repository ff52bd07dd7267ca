package dispatch

import (
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admission"
	"cuminstair.org/cuminstair/quota"
)

// The tasks of a client account start within the share of the service in the limit of the account. The amount that an account uses
// is updated by worker.adjustUsage, so that no check has to add up the runs.

const (
	// noRoomInLimit is the reason of a refusal because of a limit.
	noRoomInLimit = "no room in time within the limit of the account"
	// limitUtilization is the part of a limit that tasks use in practice: shares follow the demand of services with a delay.
	limitUtilization = 0.9
	// turnoverShare is the part of the busy room of a pool that can become free for other tasks before shares are divided anew.
	turnoverShare = 0.5
	// limitQuietTime is how long a limit has to keep no task from starting before that is logged again.
	limitQuietTime = 2 * time.Second
)

// chargeOf returns what a task of a step takes of the limit of its account. The processors that a best-effort task requests count,
// although none are reserved for it.
func chargeOf(st *cuminstair.JobStep) quota.Amount { return quota.Amount{st.CPU, st.Memory, st.Accel} }

// Grant applies a grant of shares that was sent after issued, and reports whether it was accepted.
func (s *Service) Grant(now, issued time.Time, g quota.Grant) bool {
	before := s.limitShares.Seq()
	if !s.limitShares.Accept(issued, g) {
		if g.Seq > 0 {
			s.Log.Info("dispatch: grant of shares ignored", "service", s.Name, "token", g.Token, "seq", g.Seq, "last", before,
				"age", now.Sub(issued).Round(time.Millisecond).String())
		}
		return false
	}
	s.counts.Grants++
	s.changed = s.changed || s.limitWaits
	return true
}

// LimitReport returns what the service uses and could use of the limits of accounts.
func (s *Service) LimitReport() quota.Report {
	unsettled := !s.inheritedResolved()
	s.countUnsure()
	return s.limitShares.Report(unsettled, s.waitingByAccount())
}

// countUnsure counts for each account the tasks that earlier owners may run or start, as long as their runs are not settled.
func (s *Service) countUnsure() {
	if s.inheritedResolved() || !s.limitShares.AnyLimit() {
		s.limitShares.SetUnsure(nil)
		return
	}
	unsure := map[string]quota.Amount{}
	for _, j := range s.active {
		if !j.inherited || j.account == "" {
			continue
		}
		for _, o := range j.runs {
			for _, st := range o.steps {
				if n := st.unsureTasks(); n > 0 {
					unsure[j.account] = unsure[j.account].Plus(chargeOf(&st.JobStep), n)
				}
			}
		}
	}
	s.limitShares.SetUnsure(unsure)
}

// unsureTasks counts the tasks of an inherited step of which an earlier owner may have a run that this one does not know, even
// if this one has started another run of the task.
func (st *step) unsureTasks() int {
	if st.tasksLeft == 0 || st.followsAdopted() {
		return 0
	}
	n := 0
	for _, t := range st.tasks {
		if !t.done && !t.adopted && (t.attempt == nil || !t.attempt.adopted) {
			n++
		}
	}
	return n
}

// waitingByAccount returns what the waiting tasks of ready steps and of accepted jobs could use, at most what the pool may hold soon.
func (s *Service) waitingByAccount() map[string]quota.Waiting {
	if !s.limitShares.AnyLimit() {
		return nil
	}
	waiting := map[string]quota.Waiting{}
	add := func(j *job, st *cuminstair.JobStep, n int) {
		if n == 0 || s.limitShares.Limit(j.account).IsZero() {
			return
		}
		w, unit := waiting[j.account], chargeOf(st)
		w.Total = w.Total.Plus(unit, n)
		if st.Gang {
			unit = unit.Plus(unit, n-1)
		}
		w.Unit = w.Unit.Max(unit)
		waiting[j.account] = w
	}
	for _, st := range s.ready {
		if st.occ.job.account != "" && !st.occ.job.finished() {
			add(st.occ.job, &st.JobStep, st.waitingTasks())
		}
	}
	for _, j := range s.dirty { // jobs that are being stored
		if j.account == "" || j.stored || j.finished() || len(j.runs) > 0 {
			continue
		}
		for i := range j.spec.Steps {
			if st := &j.spec.Steps[i]; len(st.After) == 0 {
				add(j, st, st.Count)
			}
		}
	}
	room := s.roomSoon()
	for name, w := range waiting {
		w.Total = w.Total.Min(room).Max(w.Unit)
		waiting[name] = w
	}
	return waiting
}

// waitingTasks counts the tasks of a ready step without a run, except those that an earlier owner may run.
func (st *step) waitingTasks() int {
	n := 0
	for _, t := range st.tasks {
		if !t.done && t.attempt == nil && !t.mayRun() {
			n++
		}
	}
	return n
}

// roomSoon returns the room of the pool that is free or may become so in the next moments.
func (s *Service) roomSoon() quota.Amount {
	var free, busy quota.Amount
	for _, w := range s.candidates {
		f := w.free()
		free = free.Plus(quota.Amount{f.CPU, f.Memory, f.Accel}, 1)
		busy = busy.Plus(quota.Amount{w.used.CPU, w.used.Memory, w.used.Accel}, 1)
	}
	more := s.incoming
	free = free.Plus(quota.Amount{s.hostCPU, s.hostMemory, 0}, more)
	for i := range free {
		free[i] += int(turnoverShare * float64(busy[i]))
	}
	return free
}

// withinLimit reports whether the limit of its account allows a task to start.
func (s *Service) withinLimit(t *task) bool { return s.tasksWithinLimit(t.step, 1) }

// copyWithinLimit reports whether the limit of its account allows a second copy of a running task. The task does not wait for it.
func (s *Service) copyWithinLimit(t *task) bool {
	st := t.step
	return st.occ.job.account == "" || s.limitShares.Fits(s.now, st.occ.job.account, chargeOf(&st.JobStep), 1)
}

// gangWithinLimit reports whether the limit of its account allows all tasks of a gang to start.
func (s *Service) gangWithinLimit(st *step) bool { return s.tasksWithinLimit(st, st.tasksLeft) }

func (s *Service) tasksWithinLimit(st *step, n int) bool {
	account := st.occ.job.account
	if account == "" || s.limitShares.Fits(s.now, account, chargeOf(&st.JobStep), n) {
		return true
	}
	s.limitWaits = true
	if !st.heldBack {
		st.heldBack = true
		s.counts.LimitTasks += st.waitingTasks()
	}
	if s.now.Sub(s.limitBlocked[account]) > limitQuietTime {
		s.counts.LimitBlocks++
		s.Log.Info("dispatch: tasks wait for the limit of their account", append([]any{
			"service", s.Name, "job", st.occ.job.id, "step", st.index, "tasks", st.waitingTasks(),
		}, s.limitFields(s.now, account)...)...)
	}
	s.limitBlocked[account] = s.now
	return false
}

// limitFields returns the fields of a log line on the limit of an account, none without an account.
func (s *Service) limitFields(now time.Time, account string) []any {
	if account == "" {
		return nil
	}
	return []any{
		"account", account, "limit", s.limitShares.Limit(account), "share", s.limitShares.Allowed(now, account), "reach", s.limitShares.Reach(account),
		"taken", s.limitShares.Used(account), "seq", s.limitShares.Seq(),
	}
}

// limitLoad is the accepted work of an account. Its unit is not the core but the largest share of the limit that the service can
// expect (quota.Share.Reach), so that one number covers all resources.
type limitLoad struct {
	loads       []admission.Load
	longRunning float64 // part that long-running tasks take
}

// listLimitLoads computes the accepted work of each account with a limit.
func (s *Service) listLimitLoads(now time.Time) {
	s.limitLoads = nil
	if !s.limitShares.AnyLimit() {
		return
	}
	s.limitLoads = map[string]*limitLoad{}
	for _, j := range s.jobs {
		if j.account == "" || j.finished() || s.limitShares.Limit(j.account).IsZero() {
			continue
		}
		x := s.limitLoadOf(j.account)
		reach := s.limitShares.Reach(j.account)
		if l := s.jobLoad(now, j); l.Work > 0 {
			ratio := s.reachPerCore(j, reach)
			l.Work, l.Ready = l.Work*ratio, l.Ready*ratio
			l.Class, l.Yields = 0, false // shares among accounts do not matter within one
			x.loads = append(x.loads, l)
		}
		for _, o := range j.runs {
			for _, st := range o.steps {
				if st.LongRunning {
					x.longRunning += float64(st.tasksLeft) * chargeOf(&st.JobStep).Part(reach)
				}
			}
		}
	}
}

func (s *Service) limitLoadOf(account string) *limitLoad {
	x := s.limitLoads[account]
	if x == nil {
		x = &limitLoad{}
		s.limitLoads[account] = x
	}
	return x
}

// reachPerCore returns the fraction of reach that a core of the work of a job takes on average.
func (s *Service) reachPerCore(j *job, reach quota.Amount) float64 {
	work := s.totalWork(j)
	if work <= 0 {
		return 0
	}
	return s.limitWork(j, reach) / work
}

// limitWork returns the work of one occurrence of a job in seconds of the use of all of reach.
func (s *Service) limitWork(j *job, reach quota.Amount) float64 {
	work := 0.0
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		work += float64(st.Count) * chargeOf(st).Part(reach) * s.expectedDuration(j, i).Seconds()
	}
	return work
}

// exceedsLimit reports whether a task or a gang of a job can never run within the limit of the account.
func (s *Service) exceedsLimit(j *job) bool {
	limit := s.limitShares.Limit(j.account)
	if j.account == "" || limit.IsZero() {
		return false
	}
	for i := range j.spec.Steps {
		st, n := &j.spec.Steps[i], 1
		if st.Gang {
			n = st.Count
		}
		if (quota.Amount{}).Plus(chargeOf(st), n).Part(limit) > 1 {
			return true
		}
	}
	return false
}

// admitWithinLimit decides whether the account of a job that the pool can run in time can run it within its limit too.
func (s *Service) admitWithinLimit(now time.Time, j *job, request admission.Job) Result {
	if j.account == "" || s.limitShares.Limit(j.account).IsZero() {
		return Result{Outcome: Accepted}
	}
	if s.limitLoads == nil {
		s.listLimitLoads(now)
	}
	reach, load := s.limitShares.Reach(j.account), s.limitLoadOf(j.account)
	pool := admission.Pool{
		Cores: max(0, 1-load.longRunning), Free: max(0, 1-s.limitShares.Used(j.account).Part(reach)), Utilization: limitUtilization,
		MeanRemaining: time.Duration(remainingShare * float64(s.meanObjective)),
	}
	request.Work, request.Width, request.Class = s.limitWork(j, reach), 0, 0
	for i := range j.spec.Steps {
		if st := &j.spec.Steps[i]; len(st.After) == 0 {
			request.Width += float64(st.Count) * chargeOf(st).Part(reach)
		}
	}
	v := admission.Decide(now, pool, load.loads, request)
	if !v.Accept {
		drained := 0.0
		for _, l := range load.loads {
			drained += l.Work
		}
		wait := time.Duration(drained / max(pool.Cores*limitUtilization, 1/maxWait.Seconds()) * float64(time.Second))
		return Result{Outcome: Refused, Wait: s.spread(min(max(wait, minWait), maxWait)), Why: noRoomInLimit, inputs: s.limitFields(now, j.account)}
	}
	j.late = j.late || v.Late
	load.loads = append(load.loads, admission.Load{
		Due: request.Due, Expiry: request.Expiry, Work: request.Work, Ready: request.Width * s.expectedDuration(j, 0).Seconds(), Late: v.Late,
	})
	return Result{Outcome: Accepted}
}

// stepWidth returns the cores that a step of a job can use at once: a part of the pool, and no more than the limit of the account.
// 0: not known.
func (s *Service) stepWidth(j *job) float64 {
	width := s.maxCores * waveShare
	if limit := float64(s.limitShares.Limit(j.account)[0]) / 1000; limit > 0 && (width <= 0 || limit < width) {
		width = limit
	}
	return width
}
