package dispatch

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/place"
)

// placeAll starts tasks of the steps that have come up, the most urgent first.
func (s *Service) placeAll(now time.Time) {
	if !s.changed {
		return
	}
	s.changed = false
	s.unplaced, s.unplacedCores = 0, 0
	settled := s.settled()
	if !settled {
		s.changed = true
	}
	kept := s.ready[:0]
	for _, st := range s.ready {
		if st.occ.job.over() || !waits(st) {
			st.listed = false
			continue
		}
		kept = append(kept, st)
	}
	s.ready = kept
	for _, st := range s.ready {
		st.latest = s.latest(st)
		st.rank = s.rank(now, st)
	}
	sort.SliceStable(s.ready, func(i, j int) bool { return before(s.ready[i], s.ready[j]) })
	s.lookAround(now)
	for _, st := range s.ready {
		if st.occ.job.old && !settled && (!st.mayCopy() || now.Sub(s.taken) < copiesAfter) {
			continue
		}
		s.placeStep(now, st)
	}
}

// lookAround lists the workers that may be given tasks, and the most that one of them has free.
func (s *Service) lookAround(now time.Time) {
	s.around = s.around[:0]
	for _, w := range s.workers {
		w.vacating = now.Before(w.vacate)
		if w.usable(now) && !s.isCutOff(now, w) {
			s.around = append(s.around, w)
		}
	}
	s.expireReservations(now)
	s.mostFree = mostFree(s.around)
}

// mostFree returns the largest free amount of each kind, not necessarily of one worker.
func mostFree(list []*worker) place.Room {
	var most place.Room
	for _, w := range list {
		free := w.free()
		most.CPU, most.Memory, most.Accel = max(most.CPU, free.CPU), max(most.Memory, free.Memory), max(most.Accel, free.Accel)
	}
	return most
}

func waits(st *step) bool {
	if st.left == 0 {
		return false
	}
	for _, t := range st.tasks {
		if !t.done && t.at == nil {
			return true
		}
	}
	return false
}

// Ranks of steps, the first to be placed first.
const (
	rankInTime  = iota // can be in time
	rankLate           // can't, but the result is of use
	rankUseless        // its result comes too late to be of use
)

// rank tells how much an early start of a step is worth.
func (s *Service) rank(now time.Time, st *step) int {
	if st.LongRunning {
		return rankInTime
	}
	from, due := st.occ.begin(), s.dueOf(st.occ)
	switch after := st.tail + s.length(st.occ.job, st.index); {
	case now.Add(after).After(useful(from, due)):
		return rankUseless
	case st.occ.job.late, st.latest.Before(now):
		return rankLate
	}
	return rankInTime
}

// before orders steps: what lasts, then what can be in time by the time that is left, then what is late.
func before(a, b *step) bool {
	if a.LongRunning != b.LongRunning {
		return a.LongRunning
	}
	if a.BestEffort != b.BestEffort {
		return b.BestEffort
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.latest.Before(b.latest)
}

// latest is when the tasks of a step have to start for the job to be in time.
func (s *Service) latest(st *step) time.Time {
	return s.dueOf(st.occ).Add(-st.tail - s.length(st.occ.job, st.index))
}

// dueOf is when an occurrence should be done.
func (s *Service) dueOf(o *occurrence) time.Time {
	if o.due.IsZero() {
		return o.job.due
	}
	return s.objective(o.job, o.due)
}

// begin is when the objective of the occurrence began.
func (o *occurrence) begin() time.Time {
	if o.due.IsZero() {
		return o.job.sent
	}
	return o.due
}

func (s *Service) placeStep(now time.Time, st *step) {
	if !st.room().Fits(s.mostFree) && !st.LongRunning {
		return
	}
	if st.Gang {
		s.placeGang(now, st)
		return
	}
	near := s.neighbours(st)
	placed := 0
	for _, t := range st.tasks {
		if t.done || t.at != nil {
			continue
		}
		w := s.choose(st, t, near)
		if w == nil && st.advised() {
			s.seekAdvice(now, st)
			break
		}
		if w == nil && st.LongRunning {
			s.reserve(now, st, t, near)
			continue
		}
		if w == nil {
			if len(t.avoid) == 0 && st.PerWorker == 0 && st.Label == "" {
				s.mostFree = mostFree(s.around)
			}
			break
		}
		s.start(now, t, w, max(t.run, s.Token*runsPerToken)+1)
		near.add(w)
		placed++
	}
	if placed > 0 {
		s.logPlaced(st, placed)
	}
}

// logPlaced writes one line for the tasks of a step that were placed together.
func (s *Service) logPlaced(st *step, placed int) {
	var list strings.Builder
	for _, o := range s.orders[len(s.orders)-placed:] {
		fmt.Fprintf(&list, "%d:%d@%s ", o.Task.Index, o.Run, o.Worker.ID)
	}
	s.Log.Info("dispatch: tasks placed", "service", s.Name, "job", st.occ.job.id, "step", st.index,
		"tasks", strings.TrimSpace(list.String()), "waiting", st.left, "workers", len(s.around), "free", s.mostFree.CPU)
}

// neighbours counts the tasks of a step by worker and rack. Both are nil for steps that don't care.
type neighbours struct {
	workers map[*worker]int
	racks   map[string]int
}

func (s *Service) neighbours(st *step) neighbours {
	if st.PerWorker == 0 && !st.LongRunning {
		return neighbours{}
	}
	n := neighbours{workers: map[*worker]int{}, racks: map[string]int{}}
	for _, t := range st.tasks {
		if t.at != nil {
			n.add(t.at.worker)
		}
	}
	return n
}

func (n neighbours) add(w *worker) {
	if n.workers != nil {
		n.workers[w]++
		n.racks[w.info.Rack]++
	}
}

// placeGang starts the tasks of a gang together or not at all.
func (s *Service) placeGang(now time.Time, st *step) {
	run := s.Token * runsPerToken
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		if t.at != nil {
			return // a run of the gang has not ended everywhere
		}
		run = max(run, t.run)
	}
	near := s.neighbours(st)
	mark := len(s.orders)
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		w := s.choose(st, t, near)
		if w == nil && st.advised() {
			defer s.seekAdvice(now, st)
		}
		if w == nil {
			for _, o := range s.orders[mark:] {
				o.attempt.worker.remove(now, o.attempt)
				o.attempt.task.at = nil
				o.attempt.task.run--
			}
			s.orders = s.orders[:mark]
			return
		}
		s.start(now, t, w, run+1)
		near.add(w)
	}
	s.logPlaced(st, len(s.orders)-mark)
}

// choose returns the worker for a task, or nil.
func (s *Service) choose(st *step, t *task, near neighbours) *worker {
	want := place.Want{Room: st.room(), Spread: st.LongRunning, Quiet: st.LongRunning || st.BestEffort}
	var best *worker
	low := 0.0
	for _, w := range s.around {
		if !want.Room.Fits(w.free()) || w.reservedFor != nil && w.reservedFor != t || !s.eligible(st, t, w, near) {
			continue
		}
		c := place.Candidate{
			Free: w.free(), Total: w.total, Slow: max(1, w.slow), LongRunning: w.longRunning, Same: near.workers[w],
			Due: w.vacating, SameRack: near.racks[w.info.Rack], Far: st.DataRack != "" && st.DataRack != w.info.Rack,
		}
		if c.Shared = w.bestEffort; st.BestEffort {
			c.Shared = w.longRunning
		}
		if score, ok := place.Score(&want, &c); ok && (best == nil || score < low) {
			best, low = w, score
		}
	}
	return best
}

// eligible tells whether a worker may run a task, apart from its room.
func (s *Service) eligible(st *step, t *task, w *worker, near neighbours) bool {
	switch {
	case t.avoid == w.info.ID && len(s.around) > 1, st.PerWorker > 0 && near.workers[w] >= st.PerWorker:
		return false
	case !matches(st.Label, w.info.Labels), st.advised() && st.ticketFor(s.now, w) == "":
		return false
	}
	return w.attempts[t.id] == nil
}

func (s *Service) start(now time.Time, t *task, w *worker, run int64) {
	j, st := t.step.occ.job, t.step
	t.run = run
	if w.reservedFor == t {
		w.reservedFor = nil
	}
	a := &attempt{
		task: t, id: t.id, run: run, room: st.room(), longRunning: st.LongRunning, bestEffort: st.BestEffort, sent: now, share: 100,
		expected: s.length(j, st.index), resumed: t.checkpoint != "",
	}
	t.at = a
	w.add(a)
	s.counts.Starts++
	order := cuminstair.StartOrder{
		Task: t.id, Run: run, Payload: j.spec.Payload, Lease: s.nextLease(now, w), Token: s.Token, Checkpoint: t.checkpoint,
		Ticket: st.ticketFor(now, w),
	}
	s.orders = append(s.orders, Order{Kind: OrderStart, Worker: w.info, Task: t.id, Run: run, Token: s.Token, Start: order, attempt: a})
}
