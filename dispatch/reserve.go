package dispatch

import (
	"time"

	"cuminstair.org/cuminstair/place"
)

// reserveFor is how long a worker is kept for a task after the task was last refused room.
const reserveFor = time.Second

// reservedShare bounds the workers that are kept for tasks, as one in so many of those that take tasks.
const reservedShare = 8

// reserve keeps what becomes free on a worker for a long-running task. It answers a pool that is full of short tasks: as
// soon as one ends, another fits in its place, so that a larger task would never find room.
func (s *Service) reserve(now time.Time, st *step, t *task, near neighbours) {
	if t.at == nil {
		s.unplaced++
		s.unplacedCores += s.cores(&st.JobStep)
	} else {
		s.movers++
	}
	if w := t.reserved; w != nil && w.reservedFor == t && w.usable(now) {
		w.reservedUntil = now.Add(reserveFor)
		return
	}
	var best *worker
	most, reserved := 0.0, 0
	for _, w := range s.around {
		if w.reservedFor != nil {
			reserved++
			continue
		}
		if w.vacating {
			continue
		}
		if !s.eligible(st, t, w, near) || !st.room().Fits(w.freeOfShort()) {
			continue
		}
		if share := freeShare(w); best == nil || share > most {
			best, most = w, share
		}
	}
	if best == nil || reserved > len(s.around)/reservedShare {
		return
	}
	best.keep(now, t)
	s.Log.Info("dispatch: worker is kept for a long-running task", "service", s.Name, "job", t.id.Job, "step", t.id.Step, "task", t.id.Index,
		"worker", best.info.ID, "free", best.free().CPU, "workers", len(s.around))
}

// keep reserves a worker for a task.
func (w *worker) keep(now time.Time, t *task) {
	w.reservedFor, w.reservedUntil, t.reserved = t, now.Add(reserveFor), w
}

// freeOfShort is the room that a worker has when its short tasks have ended.
func (w *worker) freeOfShort() place.Room {
	room := w.total
	for _, a := range w.attempts {
		if a.longRunning || a.bestEffort {
			room = room.Plus(a.room, -1)
		}
	}
	return room
}

// freeShare is the part of a worker that is free, of processors or memory, whichever is less.
func freeShare(w *worker) float64 {
	free := w.free()
	return min(float64(free.CPU)/float64(max(1, w.total.CPU)), float64(free.Memory)/float64(max(1, w.total.Memory)))
}

// expireReservations gives workers back whose tasks have found room or need none any more.
func (s *Service) expireReservations(now time.Time) {
	for _, w := range s.around {
		if w.reservedFor != nil && !now.Before(w.reservedUntil) {
			w.reservedFor = nil
			s.changed = true
		}
	}
}
