package exhaust

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// Op is the kind of an event.
type Op string

// Kinds of events.
const (
	OpPass         Op = "pass"          // time passes, until starts or stops are ordered
	OpHold         Op = "hold"          // a call is not carried out for now
	OpDo           Op = "do"            // a call that is held is carried out and answered
	OpBreak        Op = "break"         // the caller gets no answer; the call is not carried out
	OpMute         Op = "mute"          // a call is carried out, and the caller gets no answer
	OpKeep         Op = "keep"          // a call is carried out; its answer waits
	OpAnswer       Op = "answer"        // an answer that waits arrives
	OpLate         Op = "late"          // a call without an answer is carried out at last
	OpBounce       Op = "bounce"        // a worker crashes and restarts at once
	OpCrash        Op = "crash"         // a worker crashes
	OpRestart      Op = "restart"       // a worker that is down restarts under the same ID
	OpReplace      Op = "replace"       // a worker with another ID starts in the place of one that is down
	OpCut          Op = "cut"           // a worker is cut off
	OpPart         Op = "part"          // a worker is cut off from the newest owner only
	OpReach        Op = "reach"         // a worker that was cut off is reached again
	OpCordon       Op = "cordon"        // a worker's host is due for maintenance
	OpFinish       Op = "finish"        // a run ends as done
	OpFail         Op = "fail"          // a run fails
	OpReadList     Op = "read-list"     // the list of workers is read, and delivered later
	OpDeliverList  Op = "deliver-list"  // it is delivered
	OpReadHosts    Op = "read-hosts"    // the records of the hosts are read, and delivered later
	OpDeliverHosts Op = "deliver-hosts" // they are delivered
	OpFreeze       Op = "freeze"        // the owner is frozen
	OpThaw         Op = "thaw"          // an owner that was frozen goes on
	OpKill         Op = "kill"          // the owner is killed
	OpCutStore     Op = "cut-store"     // the owner does not reach the store any more
	OpReachStore   Op = "reach-store"   // an owner reaches the store again
	OpTakeOver     Op = "take-over"     // a successor takes over
)

// Event is a choice.
type Event struct {
	Op   Op
	N    int           // number of the call, index of the worker or of the owner
	Time time.Duration // of OpPass
}

// String returns a text that ParseEvent reads.
func (e Event) String() string {
	if e.Op == OpPass {
		return fmt.Sprintf("%s %s", e.Op, e.Time)
	}
	return fmt.Sprintf("%s %d", e.Op, e.N)
}

// ParseEvent reads the text of an event.
func ParseEvent(text string) (Event, error) {
	op, arg, ok := strings.Cut(text, " ")
	e := Event{Op: Op(op)}
	if !ok {
		return e, fmt.Errorf("event %q: %w", text, cuminstair.ErrMalformed)
	}
	var err error
	if e.Op == OpPass {
		e.Time, err = time.ParseDuration(arg)
	} else {
		e.N, err = strconv.Atoi(arg)
	}
	if err != nil {
		return e, fmt.Errorf("event %q: %w: %w", text, cuminstair.ErrMalformed, err)
	}
	return e, nil
}

// ParseEvents reads events that are separated by commas.
func ParseEvents(text string) ([]Event, error) {
	var list []Event
	for part := range strings.SplitSeq(text, ",") {
		e, err := ParseEvent(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return list, nil
}

// choices returns the events that are possible now.
func (x *world) choices() []Event {
	var list []Event
	add := func(possible bool, op Op, n int) {
		if possible {
			list = append(list, Event{Op: op, N: n})
		}
	}
	for _, c := range x.calls {
		x.callChoices(c, add)
	}
	x.workerChoices(add)
	x.listChoices(add)
	x.ownerChoices(add)
	for _, d := range x.opts.Passes {
		list = append(list, Event{Op: OpPass, Time: d})
	}
	return list
}

func (x *world) callChoices(c *call, add func(bool, Op, int)) {
	w, kind, o := x.find(c.order.Worker.Addr), c.order.Kind, x.opts
	reached := w.up && w.reachedBy(c.owner)
	switch c.state {
	case callSent:
		add(o.Hold.has(kind) && !c.held, OpHold, c.number)
		add(reached && c.held, OpDo, c.number)
		add(o.Break.has(kind), OpBreak, c.number)
		add(reached && o.Mute.has(kind), OpMute, c.number)
		add(reached && o.Keep.has(kind), OpKeep, c.number)
	case callWaiting:
		add(o.Mute.has(kind), OpMute, c.number)
		add(o.Keep.has(kind) && !c.held, OpKeep, c.number)
	case callKept:
		add(true, OpAnswer, c.number)
	case callLost:
		add(w.up && x.mayBeLate(c), OpLate, c.number)
	default:
	}
}

func (x *world) workerChoices(add func(bool, Op, int)) {
	o := x.opts
	for i, w := range x.workers {
		mayCrash := w.up && x.crashes < o.Crashes
		add(o.Bounce && mayCrash, OpBounce, i)
		add(o.Crash && mayCrash, OpCrash, i)
		add(o.Restart && !w.up, OpRestart, i)
		add(o.Replace && !w.up, OpReplace, i)
		add(o.Cut && !w.cut, OpCut, i)
		add(o.Part && !w.cut && !w.parted && len(x.owners) > 1, OpPart, i)
		add(w.cut || w.parted, OpReach, i)
		add(o.Cordon, OpCordon, i)
		add(o.Finish && len(w.runs) > 0, OpFinish, i)
		add(o.Fail && len(w.runs) > 0, OpFail, i)
	}
}

func (x *world) listChoices(add func(bool, Op, int)) {
	add(x.opts.Lists && x.lists == nil, OpReadList, 0)
	add(x.lists != nil, OpDeliverList, 0)
	add(x.opts.Hosts && x.hosts == nil, OpReadHosts, 0)
	add(x.hosts != nil, OpDeliverHosts, 0)
}

func (x *world) ownerChoices(add func(bool, Op, int)) {
	opts, n := x.opts, len(x.owners)-1
	last := x.owners[n]
	silent := last.dead || last.frozen || last.storeCut
	mayFail := n == 0 && !silent && !last.state.Deposed()
	add(opts.Freeze && mayFail, OpFreeze, n)
	add(opts.Kill && mayFail, OpKill, n)
	add(opts.CutStore && mayFail, OpCutStore, n)
	add(opts.Successor && n == 0 && silent, OpTakeOver, n)
	for i, o := range x.owners {
		add(o.frozen, OpThaw, i)
		add(o.storeCut && !o.dead, OpReachStore, i)
	}
}

// apply lets an event happen, and reports whether it was possible.
func (x *world) apply(e Event) bool {
	if e.Op == OpPass {
		x.notef("event: %s", e)
		x.pass(e.Time, true)
		return true
	}
	possible := false
	for _, c := range x.choices() {
		possible = possible || c == e
	}
	if !possible {
		return false
	}
	if e.Op.takesTime() {
		x.now = x.now.Add(eventTime)
	}
	x.notef("event: %s", e)
	for _, c := range x.calls {
		if c.number == e.N && x.applyToCall(c, e.Op) {
			break
		}
	}
	x.applyToWorker(e)
	x.applyToLists(e.Op)
	x.applyToOwner(e)
	x.dropCalls()
	if x.violation == nil && e.Op.reachesOwner() {
		x.stepOwners()
	}
	return true
}

// takesTime reports whether an event has a time of its own. The others happen at the time of the event before, so that their
// order has no effect.
func (op Op) takesTime() bool {
	switch op {
	case OpHold, OpKeep, OpCrash, OpCut, OpPart, OpReach, OpFreeze, OpKill, OpCutStore:
		return false
	default:
		return true
	}
}

// reachesOwner reports whether an owner notices an event at once.
func (op Op) reachesOwner() bool {
	switch op {
	case OpBounce, OpRestart, OpReplace, OpFinish, OpFail, OpReadList, OpReadHosts, OpLate:
		return false
	default:
		return op.takesTime()
	}
}

// preparesOnly reports whether an event has no effect if it is the last one, since all faults end after it.
func (op Op) preparesOnly(away bool) bool {
	switch op {
	case OpHold, OpFreeze, OpReadList, OpReadHosts, OpCutStore, OpReachStore:
		return true
	default:
		return (op == OpCut || op == OpPart || op == OpReach) && !away
	}
}

func (x *world) applyToCall(c *call, op Op) bool {
	w := x.find(c.order.Worker.Addr)
	switch op {
	case OpHold:
		c.held = true
	case OpDo:
		c.held = false
		x.carryOutCall(w, c)
		x.answerCall(c)
	case OpBreak:
		x.giveUp(c)
	case OpMute:
		if c.state == callSent {
			x.carryOutCall(w, c)
		}
		x.giveUp(c)
	case OpKeep:
		c.held = true
		if c.state == callSent {
			x.carryOutCall(w, c)
		}
	case OpAnswer:
		x.answerCall(c)
	case OpLate:
		x.carryOutLate(w, c)
	default:
		return false
	}
	return true
}

// carryOutLate lets time pass until a call may be carried out late, and carries it out.
func (x *world) carryOutLate(w *worker, c *call) {
	if early := c.sent.Add(lateFrom).Sub(x.now); early > 0 {
		x.pass(early, false)
	}
	if x.violation != nil || !w.up || !x.mayBeLate(c) {
		return
	}
	c.state = callOver
	_, _, err := x.carryOut(w, &c.order)
	x.notef("call %d is carried out late: %v", c.number, err)
}

func (x *world) applyToWorker(e Event) {
	if e.N >= len(x.workers) {
		return
	}
	w := x.workers[e.N]
	switch e.Op {
	case OpBounce:
		x.crashes++
		w.crash()
		w.boot(x.now)
	case OpCrash:
		x.crashes++
		w.crash()
	case OpRestart:
		w.boot(x.now)
	case OpReplace:
		w.lives++
		w.id = fmt.Sprintf("%c%d", 'a'+e.N, w.lives)
		w.boot(x.now)
	case OpCut:
		w.cut = true
	case OpPart:
		w.parted = true
	case OpReach:
		w.cut, w.parted = false, false
	case OpCordon:
		x.owners[len(x.owners)-1].state.Cordon(x.now, []string{w.id})
	case OpFinish:
		x.endRun(w, w.runs[0], cuminstair.EndDone)
	case OpFail:
		x.endRun(w, w.runs[0], cuminstair.EndFailed)
	default:
	}
}

func (x *world) applyToLists(op Op) {
	holder := x.owners[len(x.owners)-1]
	switch op {
	case OpReadList:
		x.lists = &heldList{readAt: x.now, list: x.workerList()}
	case OpReadHosts:
		x.hosts = &heldHosts{readAt: x.now, records: x.hostRecords()}
	case OpDeliverList:
		holder.deliverList()
	case OpDeliverHosts:
		holder.deliverHosts()
	default:
	}
}

func (x *world) applyToOwner(e Event) {
	switch e.Op {
	case OpFreeze:
		x.owners[e.N].frozen, x.owners[e.N].silentSince = true, x.now
	case OpKill:
		x.owners[e.N].dead, x.owners[e.N].silentSince = true, x.now
	case OpCutStore:
		x.owners[e.N].storeCut, x.owners[e.N].silentSince = true, x.now
	case OpThaw:
		x.owners[e.N].thaw()
	case OpReachStore:
		x.owners[e.N].storeCut = false
		x.owners[e.N].learn()
	case OpTakeOver:
		if wait := x.owners[e.N].silentSince.Add(takeoverTime).Sub(x.now); wait > 0 {
			x.pass(wait, false)
		}
		x.takeOver()
	default:
	}
}
