package exhaust

import (
	"time"

	"cuminstair.org/cuminstair/dispatch"
)

// Calls selects kinds of calls to workers.
type Calls struct{ Starts, Stops, Renewals bool }

func (c Calls) has(kind dispatch.OrderKind) bool {
	switch kind {
	case dispatch.OrderStart:
		return c.Starts
	case dispatch.OrderStop:
		return c.Stops
	case dispatch.OrderRenew:
		return c.Renewals
	default:
		return false
	}
}

// Options describe the world and the events that are choices. They are set before Run.
type Options struct {
	Name        string
	Depth       int             // number of events in an order
	Tasks       int             // tasks of the step
	LongRunning bool            // the tasks run until the job is cancelled; otherwise they end only by the event OpFinish
	PerWorker   int             // limit of tasks of the step on a worker; 0: none
	Running     bool            // the first choice is when all tasks run; otherwise when their starts are sent
	First       []Event         // events before the first choice
	Passes      []time.Duration // lengths of the event OpPass

	Hold  Calls // a call is not carried out until its caller gives up or another event
	Break Calls // the connection of a call breaks before it is carried out
	Mute  Calls // a call is carried out, and its answer is lost
	Keep  Calls // a call is carried out, and its answer waits
	Late  Calls // a call that has no answer and was not carried out is carried out lateFrom after it was sent or later

	// LateAcross lets a call that its caller has given up be carried out by a later incarnation of its worker than the one that
	// was up then. Otherwise such a call ends with the connection.
	LateAcross bool

	// LateUntil is how long after it was sent such a call may be carried out.
	LateUntil time.Duration

	Crashes   int  // most crashes in an order
	Bounce    bool // a worker crashes and restarts under the same ID at once
	Crash     bool // a worker crashes and stays down
	Restart   bool // a worker that is down restarts under the same ID
	Replace   bool // a worker with another ID starts in the place of one that is down
	Refuse    bool // workers that are down refuse connections; otherwise they are silent
	Cut       bool // a worker is cut off, and reached again
	Lists     bool // the list of workers is read now and delivered later
	Hosts     bool // the list of hosts is read now and delivered later
	Freeze    bool // the owner is frozen, and goes on
	CutStore  bool // the owner does not reach the store
	Kill      bool // the owner is killed
	Successor bool // another owner takes over from an owner that is frozen, killed or does not reach the store
	Cordon    bool // a worker's host is due for maintenance, so that its tasks are moved
	Finish    bool // a run ends as done

	Parallel int // goroutines; 0: 1
	// Away lets workers that are down or cut off at the end of the events stay so, unless both are.
	Away bool
	// MaxViolations ends the search; 0: 1. Violations of the same rule by the same kinds of events, or more, count once.
	MaxViolations int
	// MaxStates ends the search; 0: no limit.
	MaxStates int
}

// Values of LateUntil. With the long one, a start that is carried out last can begin after the longest lease of its order.
const (
	shortDelay = 4 * time.Second
	longDelay  = 12 * time.Second
)

// Depths in the test, which takes less than 15 s on one core with them.
const (
	shortDepth = 3
	longDepth  = 4
)

// Configurations returns the configurations that the test runs.
func Configurations() []Options {
	list := []Options{
		{
			Name: "restarts", Depth: longDepth, Tasks: 2, Hold: Calls{Starts: true}, Break: Calls{Starts: true}, Mute: Calls{Starts: true}, Late: Calls{Starts: true},
			Crashes: 2, Bounce: true, Lists: true, Cut: true,
		},
		{
			Name: "late", Depth: longDepth, Tasks: 1, Break: Calls{Starts: true}, Late: Calls{Starts: true}, LateUntil: longDelay, Crashes: 1, Bounce: true, Cut: true, Lists: true,
		},
		{
			Name: "hosts", Depth: longDepth, Tasks: 1, Hold: Calls{Starts: true}, Break: Calls{Starts: true}, Mute: Calls{Starts: true}, Late: Calls{Starts: true}, Crashes: 2,
			Crash: true, Restart: true, Replace: true, Refuse: true, Lists: true, Hosts: true,
		},
		{
			Name: "old-hosts", Depth: longDepth, Tasks: 1, First: []Event{{Op: OpReadList}, {Op: OpCrash, N: 1}, {Op: OpReadHosts}, {Op: OpRestart, N: 1}},
			Break: Calls{Starts: true, Renewals: true}, Mute: Calls{Starts: true, Renewals: true}, Late: Calls{Starts: true}, Crashes: 1, Crash: true, Restart: true, Lists: true,
			Hosts: true,
		},
		{
			Name: "across", Depth: longDepth, Tasks: 1, Break: Calls{Starts: true}, Late: Calls{Starts: true}, LateAcross: true, Crashes: 2, Bounce: true, Crash: true,
			Restart: true,
		},
		{
			Name: "takeover", Depth: longDepth, Tasks: 1, Hold: Calls{Starts: true}, Mute: Calls{Starts: true}, Late: Calls{Starts: true}, Crashes: 1, Bounce: true, Cut: true,
			Freeze: true, CutStore: true, Kill: true, Successor: true,
		},
		{
			Name: "frozen", Tasks: 1, Hold: Calls{Starts: true}, Keep: Calls{Starts: true, Renewals: true}, Break: Calls{Starts: true}, Crashes: 2, Bounce: true,
			Cut: true, Freeze: true, Lists: true, Successor: true,
		},
		{
			Name: "successor", Depth: longDepth, Tasks: 1, First: []Event{{Op: OpFreeze}, {Op: OpBounce, N: 1}, {Op: OpTakeOver}}, Break: Calls{Starts: true},
			Keep: Calls{Renewals: true}, Late: Calls{Starts: true, Renewals: true}, Crashes: 2, Bounce: true, Cut: true, Freeze: true, Lists: true,
			Successor: true,
		},
		{
			Name: "running", Tasks: 1, Running: true, Keep: Calls{Renewals: true}, Late: Calls{Renewals: true}, Break: Calls{Renewals: true}, Crashes: 2,
			Bounce: true, Cut: true, Freeze: true, CutStore: true, Successor: true, Lists: true,
		},
		{
			Name: "handover", Tasks: 1, Running: true, Mute: Calls{Renewals: true}, Keep: Calls{Renewals: true}, Crashes: 1, Bounce: true, Finish: true, Cut: true,
			Freeze: true, CutStore: true, Successor: true,
		},
		{
			Name: "away", Tasks: 1, Away: true, Break: Calls{Starts: true}, Mute: Calls{Starts: true}, Crashes: 2, Bounce: true, Crash: true, Cut: true,
			Hosts: true, Freeze: true, Successor: true,
		},
		{
			Name: "stops", Tasks: 1, Break: Calls{Starts: true, Stops: true}, Mute: Calls{Starts: true, Stops: true},
			Keep: Calls{Starts: true, Stops: true, Renewals: true}, Late: Calls{Starts: true, Stops: true}, Crashes: 1, Bounce: true, Cordon: true, Cut: true,
		},
		{
			Name: "ends", Tasks: 2, Break: Calls{Starts: true}, Mute: Calls{Starts: true, Renewals: true}, Keep: Calls{Renewals: true},
			Late: Calls{Starts: true}, Crashes: 1, Bounce: true, Finish: true, Cut: true,
		},
	}
	for i := range list {
		o := &list[i]
		o.Depth, o.PerWorker, o.LongRunning = max(o.Depth, shortDepth), 1, !o.Finish
		o.Passes = []time.Duration{200 * time.Millisecond, time.Second, 11 * time.Second}
		o.LateUntil = max(o.LateUntil, shortDelay)
	}
	return list
}
