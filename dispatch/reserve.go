package dispatch

import (
	"time"

	"cuminstair.org/cuminstair/place"
)

// reservationTTL is how long a worker stays reserved after the task last failed to find room.
const reservationTTL = time.Second

// reservedDivisor limits the reserved workers to about one in reservedDivisor candidates.
const reservedDivisor = 8

// reserve reserves a worker for a long-running task, so that its room is not given to short tasks. In a pool full of
// short tasks, each short task that ends is replaced by another, so a larger task would otherwise never find room.
func (s *Service) reserve(now time.Time, st *step, t *task) {
	if t.attempt == nil {
		s.unplaced++
		s.unplacedCores += s.taskCores(&st.JobStep)
	} else {
		s.unplacedMoves++
	}
	if w := t.reserved; w != nil && w.reservedFor == t && w.usable(now) {
		w.reservedUntil = now.Add(reservationTTL)
		return
	}
	var best *worker
	most, reserved := 0.0, 0
	for _, w := range s.candidates {
		if w.reservedFor != nil {
			reserved++
			continue
		}
		if w.vacating {
			continue
		}
		if !s.eligible(st, t, w) || !st.room().Fits(w.freeWithoutShort()) {
			continue
		}
		if share := freeShare(w); best == nil || share > most {
			best, most = w, share
		}
	}
	if best == nil || reserved > len(s.candidates)/reservedDivisor {
		return
	}
	best.reserve(now, t)
	s.Log.Info("dispatch: worker reserved for a long-running task", "service", s.Name, "job", t.id.Job, "step", t.id.Step, "task", t.id.Index,
		"worker", best.info.ID, "free", best.free().CPU, "workers", len(s.candidates))
}

// reserve keeps all other tasks off the worker until the task is placed there or reservationTTL has passed without a
// renewal.
func (w *worker) reserve(now time.Time, t *task) {
	w.reservedFor, w.reservedUntil, t.reserved = t, now.Add(reservationTTL), w
}

// freeWithoutShort is the room that a worker will have once its short tasks have ended.
func (w *worker) freeWithoutShort() place.Room {
	room := w.total
	for _, a := range w.attempts {
		if a.longRunning || a.bestEffort {
			room = room.Plus(a.room, -1)
		}
	}
	return room
}

// freeShare returns the smaller of the free fractions of a worker's processors and memory.
func freeShare(w *worker) float64 {
	free := w.free()
	return min(float64(free.CPU)/float64(max(1, w.total.CPU)), float64(free.Memory)/float64(max(1, w.total.Memory)))
}

// expireReservations drops reservations that were not renewed, because their tasks found room or no longer need a
// reservation.
func (s *Service) expireReservations(now time.Time) {
	for _, w := range s.candidates {
		if w.reservedFor != nil && !now.Before(w.reservedUntil) {
			w.reservedFor = nil
			s.changed = true
		}
	}
}
