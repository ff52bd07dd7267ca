package exhaust

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// lossMessage is logged by an owner that gives a run up, with the fields task, run and worker.
const lossMessage = "dispatch: task lost"

// lossLog is the logger of an owner. It checks each run that the owner gives up.
type lossLog struct {
	hclog.Logger
	x *world
}

func newLossLog(x *world, n int) lossLog {
	l := lossLog{Logger: hclog.NewNullLogger(), x: x}
	if x.trace != nil {
		l.Logger = x.trace.logger(x, n)
	}
	return l
}

// Info implements hclog.Logger.
func (l lossLog) Info(msg string, args ...any) {
	l.Logger.Info(msg, args...)
	if msg != lossMessage {
		return
	}
	fields := map[string]any{}
	for i := 0; i+1 < len(args); i += 2 {
		if name, ok := args[i].(string); ok {
			fields[name] = args[i+1]
		}
	}
	index, ok1 := fields["task"].(int)
	run, ok2 := fields["run"].(int64)
	id, ok3 := fields["worker"].(string)
	if ok1 && ok2 && ok3 {
		l.x.losses++
		l.x.checkLoss(id, cuminstair.TaskID{Job: jobID, Index: index}, run)
	}
}

// checkLoss checks that a run which is given up on a worker has ended and can't begin.
func (x *world) checkLoss(id string, task cuminstair.TaskID, number int64) {
	for _, w := range x.workers {
		if r := w.find(task); r != nil && r.number == number && w.id == id {
			x.violatef(RuleEnded, "run %d of task %d is given up while it is alive on %s", number, task.Index, id)
		}
	}
	for _, c := range x.calls {
		o := &c.order
		if o.Kind == dispatch.OrderStart && o.Task == task && o.Run == number && x.mayBegin(c) {
			x.violatef(RuleEnded, "run %d of task %d is given up while call %d may still start it on %s", number, task.Index, c.number, id)
		}
	}
}

// mayBegin reports whether the worker that is up would begin a run if it carried out a start that is on its way.
func (x *world) mayBegin(c *call) bool {
	w, o := x.find(c.order.Worker.Addr), &c.order
	if !w.up || w.id != o.Worker.ID || o.Token < w.token || o.Run <= w.barred[o.Task] {
		return false
	}
	switch c.state {
	case callSent:
		return o.Start.Lease > w.clock(x.now)
	case callLost:
		earliest := c.sent.Add(lateFrom)
		return x.mayBeLate(c) && o.Start.Lease > w.clock(x.now)+max(0, time.Duration(w.rate*float64(earliest.Sub(x.now))))
	default:
		return false
	}
}
