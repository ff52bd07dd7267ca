package dispatch

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/place"
)

// worker is what the owner knows of a worker.
type worker struct {
	info        cuminstair.WorkerInfo
	total       place.Room
	used        place.Room // of all attempts, those that are being stopped included
	attempts    map[cuminstair.TaskID]*attempt
	longRunning int       // attempts of long-running tasks that don't fill
	bestEffort  int       // attempts of best-effort task
	listed      bool      // the platform's list has it
	leaving     time.Time // when it was first seen to be leaving; zero: it is not
	cordon      time.Time // until then it gets no tasks because its host is due for maintenance or a move
	vacate      time.Time // until then it gets no long-running tasks because its host is due for maintenance later
	vacating    bool      // vacate as of the last decision
	recorded    bool      // the record of workers has it, so that the next owner will look at it
	synced      bool      // its lists were read under the own token in its present life
	gone        bool      // its life is over

	clock     time.Duration // its clock at clockAt, at least
	clockAt   time.Time
	lease     time.Duration // latest time on its clock that was ever sent as a lease
	processed int64         // ends up to here are counted
	stored    int64         // ends up to here are counted in the store
	seen      int64         // ends up to here were acknowledged

	holding  bool      // a renewal is under way
	held     time.Time // when the last successful renewal was sent
	next     time.Time // when the next renewal may be sent
	failed   int       // renewals that failed in a row
	refusing bool      // its host refused the connection of the last of them: it is not cut off
	blocked  time.Time // until then it gets no tasks after refusals or failures
	streak   int       // runs that failed in a row
	idle     time.Time // since when it has no tasks

	reservedFor   *task     // only this task may be placed on it; nil: any
	reservedUntil time.Time // when the reservation ends unless it is renewed

	slow float64 // moving mean of how much longer tasks take than expected; 0: unknown
}

func newWorker(info cuminstair.WorkerInfo) *worker {
	w := &worker{attempts: map[cuminstair.TaskID]*attempt{}}
	w.set(info)
	return w
}

func (w *worker) set(info cuminstair.WorkerInfo) {
	w.info = info
	w.total = place.Room{CPU: info.CPU, Memory: info.Memory, Accel: info.Accel}
}

// clockAtLeast returns the least time that the worker's clock can show at now.
func (w *worker) clockAtLeast(now time.Time) time.Duration {
	since := now.Sub(w.clockAt)
	return w.clock + since - time.Duration(clockSlow*float64(since))
}

// lapsed tells whether everything that ran on the worker under the own token has surely ended.
func (w *worker) lapsed(now time.Time) bool {
	return w.synced && w.clockAtLeast(now) > w.lease+leaseMargin
}

// nextLease returns the lease to send now. A worker that does not answer keeps the lease that it has, so that its tasks
// surely end. No lease is longer than the time for which the owner may give orders, so that the next one knows when all
// have run out.
func (s *Service) nextLease(now time.Time, w *worker) time.Duration {
	if w.failed > 0 {
		return w.lease
	}
	length := Lease
	if s.Grace > 0 {
		length = max(0, min(Lease, s.confirmed.Add(s.Grace).Sub(now)))
	}
	w.lease = max(w.lease, w.clock+now.Sub(w.clockAt)+length)
	return w.lease
}

func (w *worker) suspect() bool { return w.failed >= suspectAfter }

// usable tells whether the worker may be given new tasks.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.gone && w.synced && w.recorded && w.leaving.IsZero() && !w.suspect() &&
		now.After(w.blocked) && now.After(w.cordon)
}

func (w *worker) free() place.Room { return w.total.Plus(w.used, -1) }

// freeCores is the free processors for which there is memory, as far as processors and memory are used alike.
func (w *worker) freeCores() float64 {
	free := w.free()
	if w.total.Memory <= 0 {
		return float64(free.CPU) / 1000
	}
	return min(float64(free.CPU), float64(free.Memory)*float64(w.total.CPU)/float64(w.total.Memory)) / 1000
}

func (w *worker) add(a *attempt) {
	a.worker = w
	w.attempts[a.id] = a
	w.book(a, 1)
}

// book adds n times what an attempt takes.
func (w *worker) book(a *attempt, n int) {
	w.used = w.used.Plus(a.room, n)
	switch {
	case a.bestEffort:
		w.bestEffort += n
	case a.longRunning:
		w.longRunning += n
	}
}

func (w *worker) remove(now time.Time, a *attempt) {
	if w.attempts[a.id] != a {
		return
	}
	delete(w.attempts, a.id)
	w.book(a, -1)
	w.idle = now
}

// SetWorkers takes the platform's list of the workers of this service.
func (s *Service) SetWorkers(now time.Time, list []cuminstair.WorkerInfo) {
	inList := map[string]bool{}
	for _, info := range list {
		inList[info.ID] = true
		w, ok := s.workers[info.ID]
		if !ok {
			w = newWorker(info)
			s.workers[info.ID] = w
			s.workersDirty = true
			s.changed = true
		}
		s.updateWorker(now, w, info)
	}
	cores := 0.0
	for id, w := range s.workers {
		if inList[id] {
			cores += float64(w.total.CPU) / 1000
			if w.total.CPU > s.hostCPU {
				s.hostCPU, s.hostMemory = w.total.CPU, w.total.Memory
			}
			continue
		}
		w.listed = false
		if len(w.attempts) == 0 && s.settled() {
			delete(s.workers, id)
			s.workersDirty = true
		}
	}
	s.mostCores = max(s.mostCores, cores)
}

func (s *Service) updateWorker(now time.Time, w *worker, info cuminstair.WorkerInfo) {
	switch {
	case info.Born < w.info.Born && info.Born != 0:
		return // an entry of an earlier life
	case info.Born > w.info.Born && w.info.Born != 0:
		s.newLife(now, w, info.Born, now, nil)
	case info.Born > w.info.Born:
		w.info.Born = info.Born
	}
	if w.gone && info.Born == w.info.Born {
		return
	}
	w.set(info)
	w.listed = true
	switch {
	case info.State != cuminstair.WorkerLeaving:
		w.leaving = time.Time{}
	case w.leaving.IsZero():
		w.leaving = now
		s.Log.Info("dispatch: worker is leaving", "service", s.Name, "worker", w.info.ID, "tasks", len(w.attempts), "version", info.Version)
	}
}

// newLife notes that a worker has started again: nothing of before runs. Orders whose answers came after sent, or never,
// may belong to the new life and are kept.
func (s *Service) newLife(now time.Time, w *worker, born int64, sent time.Time, running map[cuminstair.TaskID]int64) {
	s.Log.Info("dispatch: worker has started again", "service", s.Name, "worker", w.info.ID, "born", born, "tasks", len(w.attempts))
	w.info.Born = born
	w.processed, w.stored, w.seen, w.failed, w.streak, w.slow = 0, 0, 0, 0, 0, 0
	w.synced, w.gone, w.clock, w.lease = false, false, 0, 0
	w.blocked, w.next = time.Time{}, now
	for id, a := range w.attempts {
		if running[id] == a.run || a.answered.IsZero() || a.answered.After(sent) {
			continue
		}
		s.lost(now, a, "worker started again")
	}
}

// lifeOver notes that a worker no longer exists, and with it all that ran there.
func (s *Service) lifeOver(now time.Time, w *worker, why string) {
	if w.gone {
		return
	}
	s.Log.Info("dispatch: worker is gone", "service", s.Name, "worker", w.info.ID, "why", why, "tasks", len(w.attempts))
	w.gone, w.listed = true, false
	for _, a := range w.attempts {
		s.lost(now, a, why)
	}
}

// lost ends an attempt without an end in the worker's list.
func (s *Service) lost(now time.Time, a *attempt, why string) {
	s.counts.Lost++
	s.Log.Info("dispatch: task is lost", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", a.worker.info.ID, "why", why)
	s.release(now, a)
}

// Held takes the answer to a renewal that was sent at sent.
func (s *Service) Held(now, sent time.Time, id string, report cuminstair.WorkerReport, err error) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.holding = false
	switch {
	case err == nil:
		s.report(now, sent, w, report)
	case errors.Is(err, cuminstair.ErrFenced):
		s.depose("worker has seen a higher token", id)
	case errors.Is(err, cuminstair.ErrOtherLife):
		s.lifeOver(now, w, "another worker answers at its address")
	default:
		w.failed++
		w.refusing = errors.Is(err, cuminstair.ErrConnRefused)
		w.next = now.Add(holdBackoff)
		if w.failed == suspectAfter {
			s.Log.Warn("dispatch: worker does not answer", "service", s.Name, "worker", id, "tasks", len(w.attempts), "error", err)
		}
	}
}

func (s *Service) report(now, sent time.Time, w *worker, r cuminstair.WorkerReport) {
	running := make(map[cuminstair.TaskID]int64, len(r.Running))
	for _, t := range r.Running {
		running[t.Task] = t.Run
	}
	if r.Born != 0 && w.info.Born != 0 && r.Born != w.info.Born {
		if r.Born < w.info.Born {
			return // an answer of an earlier life that was held up
		}
		s.newLife(now, w, r.Born, sent, running)
	}
	if w.suspect() {
		s.Log.Info("dispatch: worker answers again", "service", s.Name, "worker", w.info.ID)
	}
	if !w.synced {
		s.changed = true
	}
	w.synced, w.failed, w.refusing, w.held = true, 0, false, sent
	w.clock, w.clockAt = r.Clock, now
	s.takeEnds(now, w, r.Ended)
	for _, t := range r.Running {
		s.seeRunning(now, w, t)
	}
	s.seeMissing(now, sent, w, running)
	w.next = now.Add(max(holdGap, time.Duration(len(s.workers))*time.Second/holdRate))
	if w.processed > w.stored {
		w.next = now.Add(holdGapBusy)
	}
}

func (s *Service) takeEnds(now time.Time, w *worker, list []cuminstair.EndedTask) {
	for _, e := range list {
		if e.Seq <= w.processed {
			continue
		}
		s.end(now, w, e)
		w.processed = e.Seq
	}
}

// seeRunning takes a row of the running list.
func (s *Service) seeRunning(now time.Time, w *worker, t cuminstair.RunningTask) {
	a, ok := w.attempts[t.Task]
	if !ok || a.run != t.Run {
		a = s.adopt(now, w, t)
		if a == nil {
			return
		}
	}
	if a.answered.IsZero() {
		a.answered = now
	}
	a.seen, a.missing = true, 0
	if t.Percent > a.percent || a.moved.IsZero() {
		a.percent, a.moved = t.Percent, now
	}
	a.percent, a.gauge = t.Percent, t.Gauge
	if s.superseded(a) {
		s.stop(now, a)
	}
	if a.task == nil {
		return
	}
	if t.Checkpoint != "" {
		a.task.checkpoint = t.Checkpoint
	}
	a.task.step.started()
	if a.task.step.LongRunning && t.Percent >= 100 && a.stop.IsZero() {
		a.task.away, a.task.moved = time.Time{}, false
	}
}

// adopt takes over a run that an earlier owner started, or that is not known to be there. A run that must not be there
// is stopped and keeps its room until then.
func (s *Service) adopt(now time.Time, w *worker, t cuminstair.RunningTask) *attempt {
	a := &attempt{id: t.Task, run: t.Run, sent: now, answered: now, share: 100}
	j := s.jobs[t.Task.Job]
	var x *task
	if j != nil {
		x = j.task(t.Task)
	}
	switch {
	case j != nil && t.Task.Step < len(j.spec.Steps):
		// Jobs that are over have no tasks any more, but what still runs of them takes its room.
		st := step{JobStep: j.spec.Steps[t.Task.Step]}
		a.room, a.longRunning, a.bestEffort = st.room(), st.LongRunning, st.BestEffort
	default:
		a.room = w.free() // nothing is known of it: the worker gets no tasks until it has ended
	}
	if x != nil {
		x.run = max(x.run, t.Run)
	}
	if old, ok := w.attempts[t.Task]; ok {
		if old.run > t.Run {
			return nil // an earlier run whose stop is under way
		}
		s.release(now, old)
	}
	w.add(a)
	if x != nil && !x.done && !j.over() && x.at == nil {
		a.task, x.at = x, a
		return a
	}
	s.Log.Warn("dispatch: stopping a run that should not be there", "service", s.Name, "job", t.Task.Job,
		"step", t.Task.Step, "task", t.Task.Index, "run", t.Run, "worker", w.info.ID)
	s.stop(now, a)
	return a
}

// seeMissing settles attempts that the running list does not have. Only answers that came before the list was asked for
// say anything.
func (s *Service) seeMissing(now, sent time.Time, w *worker, running map[cuminstair.TaskID]int64) {
	for id, a := range w.attempts {
		if running[id] == a.run {
			continue
		}
		switch {
		case !a.barred.IsZero() && a.barred.Before(sent):
			s.release(now, a)
		case !a.answered.IsZero() && a.answered.Before(sent):
			a.missing++
			if a.missing > 1 {
				s.lost(now, a, "the worker does not list it")
			}
		}
	}
}
