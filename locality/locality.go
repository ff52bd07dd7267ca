// Package locality decides whether a task waits for room on the rack of its data or starts on another rack, where it takes
// longer (delay scheduling by expected gain). It is made for pools in which many tasks want the same rack for some seconds,
// in which racks are wanted evenly, and in which the whole pool is full. It does no input or output.
package locality

import "time"

// Choice is what a decision about a task, or about the tasks of a step that belong on one rack, depends on.
type Choice struct {
	Factor   float64       // how many times as long the task takes on another rack; above 1
	Duration time.Duration // expected on the rack that it wants
	Wait     time.Duration // expected until there is room on that rack
	Slack    time.Duration // until its latest start
	Float    time.Duration // by which it may end later without its job ending later (total float in the critical-path method)
	Here     float64       // price of room on the rack that it wants
	There    float64       // price of room on the rack where it would run otherwise
}

// Verdict is a decision.
type Verdict struct {
	Wait  bool
	Gain  time.Duration // longest wait that pays off
	Bound time.Duration // longest wait that is allowed
}

// Decide returns whether to wait. It compares what each way costs the job, and what it costs the others that could use the
// room: a run on another rack takes room for longer. A start that is in time is preferred to one that is not.
func Decide(c *Choice) Verdict {
	longer := time.Duration((c.Factor - 1) * float64(c.Duration))
	room := time.Duration((c.Factor*c.There - c.Here) * float64(c.Duration))
	v := Verdict{Gain: max(0, max(longer, c.Float)+room)}
	v.Bound = min(v.Gain, c.Slack)
	inTime, remoteInTime := c.Wait <= c.Slack, longer <= c.Slack
	switch {
	case c.Slack <= 0:
		v.Bound = 0
	case inTime && !remoteInTime:
		v.Wait, v.Bound = true, c.Slack
	case inTime == remoteInTime:
		v.Wait = c.Wait <= v.Gain
	}
	return v
}

// Waiting is the wait of a task, or of the tasks of a step, for a rack. The zero value is one that has not begun.
type Waiting struct {
	Until time.Time // end of the wait, by the first decision to wait; zero: there was none
}

// Began reports whether there was a wait.
func (w *Waiting) Began() bool { return !w.Until.IsZero() }

// Decide returns whether to wait, or to go on waiting. The first decision to wait bounds the whole wait.
func (w *Waiting) Decide(now time.Time, c *Choice) Verdict {
	if w.Began() && !now.Before(w.Until) {
		return Verdict{}
	}
	v := Decide(c)
	if v.Wait && !w.Began() {
		w.Until = now.Add(v.Bound)
	}
	return v
}
