package dispatch

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair/locality"
	"cuminstair.org/cuminstair/place"
)

// Short tasks of a step with DataRack or OneRack wait for room on their rack as long as package locality expects a gain. Tasks
// of advised queues and tasks in trials don't wait, since they may have no other worker soon. The state is that of the owner; a
// new owner decides again.

// rackPass is what one placement pass knows about locality.
type rackPass struct {
	active bool      // a ready step wants a rack, and the factor is known
	until  time.Time // when the first wait for a rack ends that the pass has left; zero: there is none
	// About the step that is being placed; reset after each start of one of its tasks:
	remote     *worker       // on another rack, declined by a task: the next tasks have the same choice
	usable     bool          // a worker of the wanted rack may run its tasks once it has room
	floatKnown bool          // float is known
	float      time.Duration // see floatOf
}

// rackRoom is the room of the workers of a rack that take tasks: the largest amount of each resource on any of them.
type rackRoom struct {
	free  place.Room // upper bound, since tasks may have started in this pass
	later place.Room // free once the short tasks have ended
}

// stepRack is the state of a step that wants a rack.
type stepRack struct {
	counted bool             // its tasks are counted as wanting their rack
	logged  bool             // its first wait is logged
	wait    locality.Waiting // of the tasks of a group
	first   string           // rack of its first run; empty: it has not started
	split   bool             // it has run on several racks
	only    string           // rack to which the present placement is restricted; empty: any
	waits   bool             // tasks that find no room there wait for it
}

// wantsRack reports whether the duration of the tasks of a step depends on the rack, so that they may wait for one.
func (st *step) wantsRack() bool {
	return (st.DataRack != "" || st.OneRack) && !st.LongRunning && !st.BestEffort && !st.needsTicket()
}

// grouped reports whether the tasks of a step get one rack together.
func (st *step) grouped() bool { return st.OneRack || st.Gang }

// observeRacks prepares a placement pass.
func (s *Service) observeRacks(now time.Time) {
	s.rackPass = rackPass{}
	if s.Bounds.RemoteFactor <= 1 {
		return
	}
	s.racks.Begin(now)
	s.rackPass.active = slices.ContainsFunc(s.ready, (*step).wantsRack)
	if !s.rackPass.active {
		return
	}
	if s.rackRooms == nil {
		s.rackRooms = map[string]rackRoom{}
	}
	clear(s.rackRooms)
	for _, w := range s.candidates {
		s.racks.Add(w.rack, w.coresOf(w.total), w.coresOf(w.short))
		room := s.rackRooms[w.rack]
		room.free = room.free.Max(w.free())
		room.later = room.later.Max(w.free().Plus(w.short, 1))
		s.rackRooms[w.rack] = room
	}
}

// rackWaitOver reports whether a wait for a rack has ended since the last placement, so that placement has to run again.
func (s *Service) rackWaitOver(now time.Time) bool {
	return !s.rackPass.until.IsZero() && !now.Before(s.rackPass.until)
}

// queueWaiting adds those of the given tasks of a step that have no run to the queue from which waits are estimated.
func (s *Service) queueWaiting(st *step, tasks []*task) {
	if !s.rackPass.active || st.BestEffort || st.LongRunning {
		return
	}
	n := 0
	for _, t := range tasks {
		if !t.done && t.attempt == nil {
			n++
		}
	}
	rack := ""
	if st.wantsRack() {
		rack = st.wanted()
	}
	s.racks.Queue(rack, float64(n)*s.taskCores(&st.JobStep))
}

// beginStep prepares the placement of a step. The first time it counts its tasks as wanting the rack of their data.
func (s *Service) beginStep(now time.Time, st *step) {
	s.rackPass.reset()
	if !s.rackPass.active || !st.wantsRack() || st.rack.counted || st.DataRack == "" {
		return
	}
	st.rack.counted = true
	s.racks.Wanted(now, st.DataRack, float64(st.tasksLeft)*s.taskWork(st.occ.job, st.index))
}

// reset discards what holds only until the next start of a task, since a start changes the free room and the float.
func (p *rackPass) reset() { p.remote, p.floatKnown = nil, false }

// chooseOrWait returns the worker for a task, nil if there is none. waits means that the task waits for its rack.
func (s *Service) chooseOrWait(now time.Time, st *step, t *task, racks spread) (w *worker, waits bool) {
	if !s.rackPass.active || !st.wantsRack() || t.needsTrial() {
		return s.choose(st, t, racks), false
	}
	if st.OneRack {
		return s.chooseOfGroup(st, t, racks)
	}
	p := &s.rackPass
	if !p.floatKnown {
		p.floatKnown, p.float = true, s.floatOf(now, st)
	}
	ordinary := len(t.crashes) == 0 && t.avoidWorker == ""
	if ordinary && s.waitsRegardless(now, st, t) {
		return nil, true
	}
	w = p.remote
	if w == nil || !ordinary || w.attempts[t.id] != nil {
		w = s.choose(st, t, racks)
		if w == nil || w.rack == st.DataRack {
			p.reset()
			return w, false
		}
		p.usable = s.rackUsable(st, t)
	}
	if p.usable && s.waitsForData(now, st, t, s.racks.Price(w.rack, s.Bounds.RemoteFactor)) {
		p.remote = nil
		if ordinary {
			p.remote = w
		}
		return nil, true
	}
	p.reset()
	return w, false
}

// waitsRegardless reports whether a task waits for its rack even if room elsewhere costs least. It saves the search for a worker
// elsewhere, which visits all workers. It is false if a worker on the rack may have room.
func (s *Service) waitsRegardless(now time.Time, st *step, t *task) bool {
	room, here := st.room(), s.rackRooms[st.DataRack]
	if st.Label != "" || st.PerWorker > 0 || room.Fits(here.free) || !room.Fits(here.later) {
		return false
	}
	return s.waitsForData(now, st, t, s.racks.Price("", s.Bounds.RemoteFactor))
}

// waitsForData decides whether a task waits for the rack of its data, given the price of the room that it could have.
func (s *Service) waitsForData(now time.Time, st *step, t *task, there float64) bool {
	c := s.rackChoice(st, st.DataRack, 1, s.rackPass.float, there)
	if !s.waits(now, st, &t.rackWait, &c, st.DataRack) {
		return false
	}
	s.racks.Queue(st.DataRack, s.taskCores(&st.JobStep))
	return true
}

// rackChoice returns the choice of n tasks of a step between a rack and room elsewhere at a price.
func (s *Service) rackChoice(st *step, here string, n int, float time.Duration, there float64) locality.Choice {
	f, d := s.Bounds.RemoteFactor, s.expectedDuration(st.occ.job, st.index)
	return locality.Choice{
		Factor: f, Duration: d, Wait: s.racks.Wait(here, float64(n)*s.taskCores(&st.JobStep), d), Slack: st.latestStart.Sub(s.now),
		Float: float, Here: s.racks.Price(here, f), There: there,
	}
}

// waits decides whether tasks wait for a rack, and schedules the placement at the end of the wait.
func (s *Service) waits(now time.Time, st *step, wait *locality.Waiting, c *locality.Choice, rack string) bool {
	v := wait.Decide(now, c)
	if !v.Wait {
		return false
	}
	if p := &s.rackPass; p.until.IsZero() || wait.Until.Before(p.until) {
		p.until = wait.Until
	}
	if !st.rack.logged {
		st.rack.logged = true
		s.Log.Info("dispatch: tasks wait for a rack", "service", s.Name, "job", st.occ.job.id, "step", st.index, "rack", rack,
			"gain", v.Gain.Round(time.Millisecond).String(), "expected wait", c.Wait.Round(time.Millisecond).String(),
			"at most", v.Bound.Round(time.Millisecond).String(), "slack", c.Slack.Round(time.Millisecond).String())
	}
	return true
}

// rackUsable reports whether a worker of the rack of the data may run a task once its short tasks have ended. It is false also
// if one could run the task now: that worker was not chosen for another reason, such as its slowness.
func (s *Service) rackUsable(st *step, t *task) bool {
	usable := false
	for _, w := range s.candidates {
		if w.rack != st.DataRack || !s.fitsLater(st, w) {
			continue
		}
		if st.room().Fits(w.free()) && s.admits(w, t) {
			return false
		}
		usable = usable || t.avoidWorker != w.info.ID
	}
	return usable
}

// fitsLater reports whether a worker may run a task of a step once its short tasks have ended.
func (s *Service) fitsLater(st *step, w *worker) bool {
	return w.reservedFor == nil && hasLabel(st.Label, w.info.Labels) && st.room().Fits(w.free().Plus(w.short, 1)) &&
		(st.PerWorker == 0 || w.stepRuns[stepID{st.occ.job.id, st.occ.number, st.index}] < st.PerWorker)
}

// floatOf returns by how much a task of a step may end later without its occurrence ending later: another chain of steps, or
// another run of the step, takes that much longer.
func (s *Service) floatOf(now time.Time, st *step) time.Duration {
	longest := time.Duration(0)
	for _, x := range st.occ.steps {
		if x.tasksLeft == 0 || x.LongRunning {
			continue
		}
		if x != st && !x.started {
			longest = max(longest, x.pathAfter+s.expectedDuration(st.occ.job, x.index))
			continue
		}
		for _, t := range x.tasks {
			switch {
			case t.done:
			case t.attempt != nil:
				longest = max(longest, x.pathAfter+t.attempt.sentAt.Add(t.attempt.expected).Sub(now))
			case x != st:
				longest = max(longest, x.pathAfter+s.expectedDuration(st.occ.job, x.index))
			}
		}
	}
	return max(0, longest-st.pathAfter-s.expectedDuration(st.occ.job, st.index))
}

// runsRemote reports whether a run of a step on a worker takes longer for its rack.
func (s *Service) runsRemote(st *step, w *worker) bool {
	if s.Bounds.RemoteFactor <= 1 || st.LongRunning {
		return false
	}
	return st.DataRack != "" && st.DataRack != w.rack || st.OneRack && st.rack.split
}

// recordRack records that a run of a step is on a worker.
func (st *step) recordRack(w *worker) {
	switch {
	case !st.OneRack, w.rack == "":
	case st.rack.first == "":
		st.rack.first = w.rack
	case st.rack.first != w.rack:
		st.rack.split = true
	}
}

// countLocality counts a run that a worker has started.
func (s *Service) countLocality(a *attempt) {
	st := a.task.step
	if s.Bounds.RemoteFactor <= 1 || !st.wantsRack() {
		return
	}
	waited := a.task.rackWait.Began() || st.rack.wait.Began()
	c := &s.counts.Locality
	switch remote := s.runsRemote(st, a.worker); {
	case remote && waited:
		c.WaitedRemote++
	case remote:
		c.Remote++
	case waited:
		c.WaitedNear++
	default:
		c.Near++
	}
}

// freed adds the end of a run to the estimates of waits.
func (s *Service) freed(now time.Time, a *attempt) {
	if s.Bounds.RemoteFactor <= 1 || a.longRunning || a.bestEffort || a.adopted {
		return
	}
	s.racks.Freed(now, a.worker.rack, a.worker.coresOf(a.room), now.Sub(a.sentAt))
}
