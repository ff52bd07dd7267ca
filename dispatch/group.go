package dispatch

import (
	"time"

	"cuminstair.org/cuminstair/place"
)

// rackFit is what a rack offers the waiting tasks of a group.
type rackFit struct {
	now   int     // tasks for which it has room
	later int     // tasks for which it has room once its short tasks have ended
	cores float64 // free cores
}

// placeGroup chooses the rack to which the placement of a group is restricted, and whether its tasks wait for room there. Those
// of a gang wait together.
func (s *Service) placeGroup(now time.Time, st *step) {
	if !s.rackPass.active || !st.wantsRack() || !st.grouped() {
		return
	}
	st.rack.only, st.rack.waits = "", false
	if st.Gang {
		st.rack.first, st.rack.split = "", false // all its tasks start anew
	}
	n, t := tasksWithoutRun(st)
	if n == 0 || st.rack.split || t.needsTrial() {
		return
	}
	fits := s.findRackFits(st, t)
	if st.rack.only = fittingRack(st, fits, n); st.rack.only != "" {
		return
	}
	rack, missing := s.awaitedRack(st, fits, n)
	if rack == "" {
		return
	}
	c := s.rackChoice(st, rack, missing, s.floatOf(now, st), s.racks.Price("", s.Bounds.RemoteFactor))
	if !s.waits(now, st, &st.rack.wait, &c, rack) {
		return
	}
	s.racks.Queue(rack, float64(missing)*s.taskCores(&st.JobStep))
	st.rack.only, st.rack.waits = rack, true
}

// tasksWithoutRun counts the tasks of a step without a run, and returns one of them.
func tasksWithoutRun(st *step) (n int, one *task) {
	for _, t := range st.tasks {
		if !t.done && t.attempt == nil {
			n, one = n+1, t
		}
	}
	return n, one
}

// wanted returns the rack that the tasks of a group want: that of their runs, or of their data; empty if any is good.
func (st *step) wanted() string {
	if st.rack.first != "" {
		return st.rack.first
	}
	return st.DataRack
}

// findRackFits returns by rack for how many tasks of a step there is room. t is one of the waiting tasks.
func (s *Service) findRackFits(st *step, t *task) map[string]rackFit {
	if s.rackFits == nil {
		s.rackFits = map[string]rackFit{}
	}
	fits := s.rackFits
	clear(fits)
	risky := s.atRisk(s.now, st.occ.job.queue.Name)
	for _, w := range s.candidates {
		if !s.fitsLater(st, w) {
			continue
		}
		most := st.tasksLeft
		if st.PerWorker > 0 {
			most = st.PerWorker - w.stepRuns[stepOf(t.id)]
		}
		f := fits[w.rack]
		f.later += min(most, tasksFitting(st, w.free().Plus(w.short, 1)))
		if risky { // one start at a time
			most = min(most, 1)
			if s.now.Sub(w.riskyStart) < startSpacing {
				most = 0
			}
		}
		if s.admits(w, t) && t.avoidWorker != w.info.ID {
			f.now += min(most, tasksFitting(st, w.free()))
			f.cores += w.freeCores()
		}
		fits[w.rack] = f
	}
	return fits
}

// tasksFitting returns how many tasks of a step fit into some room.
func tasksFitting(st *step, free place.Room) int {
	room, n := st.room(), st.tasksLeft
	if room.CPU > 0 {
		n = min(n, free.CPU/room.CPU)
	}
	if room.Memory > 0 {
		n = min(n, free.Memory/room.Memory)
	}
	if room.Accel > 0 {
		n = min(n, free.Accel/room.Accel)
	}
	return max(0, n)
}

// fittingRack returns the rack that has room for n tasks now: the one that they want, or else, if none of them runs, the one
// with the fewest free cores. It is empty if there is none, or if the wanted rack could take them later.
func fittingRack(st *step, fits map[string]rackFit, n int) string {
	wanted := st.wanted()
	if f := fits[wanted]; wanted != "" && (f.now >= n || f.later >= n || st.rack.first != "") {
		if f.now >= n {
			return wanted
		}
		return ""
	}
	best := ""
	for rack, f := range fits {
		if f.now >= n && (best == "" || f.cores < fits[best].cores || f.cores == fits[best].cores && rack < best) {
			best = rack
		}
	}
	return best
}

// awaitedRack returns the rack with the shortest expected wait among those that could take n tasks, and for how many of them it
// lacks room now.
func (s *Service) awaitedRack(st *step, fits map[string]rackFit, n int) (rack string, missing int) {
	wanted := st.wanted()
	shortest := time.Duration(0)
	for name, f := range fits {
		switch {
		case f.later < n:
			continue
		case st.rack.first != "" && name != st.rack.first: // other tasks of the group run there
			continue
		case wanted != "" && name != wanted && fits[wanted].later >= n: // the wanted rack can take them
			continue
		}
		lacks := max(1, n-f.now)
		wait := s.racks.Wait(name, float64(lacks)*s.taskCores(&st.JobStep), s.expectedDuration(st.occ.job, st.index))
		if rack == "" || wait < shortest || wait == shortest && name < rack {
			rack, missing, shortest = name, lacks, wait
		}
	}
	return rack, missing
}

// chooseOfGroup returns the worker for a task of a group, nil if there is none. waits means that the task waits for the
// rack of its group.
func (s *Service) chooseOfGroup(st *step, t *task, racks spread) (w *worker, waits bool) {
	w = s.choose(st, t, racks)
	if w != nil || st.rack.only == "" {
		return w, false
	}
	if st.rack.waits {
		return nil, true
	}
	st.rack.only = "" // findRackFits does not check all conditions of choose
	return s.choose(st, t, racks), false
}
