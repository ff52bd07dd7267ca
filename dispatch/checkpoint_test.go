package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// gangPool returns a pool in which the members of a gang run and have produced different checkpoints.
func gangPool(t *testing.T) *pool {
	t.Helper()
	p := newPool(t, 4)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(200 * time.Millisecond)
	gang := step(3, 20000)
	gang.Gang, gang.Checkpoints = true, true
	p.submit(jobA, gang)
	p.run(200 * time.Millisecond)
	p.is.Equal(len(p.busy()), 3)
	for i, w := range p.busy() {
		for _, r := range w.runs {
			r.saved = string(rune('x' + i))
		}
	}
	p.run(1500 * time.Millisecond)
	return p
}

// breakGang crashes a worker of the gang, whose other members end.
func (p *pool) breakGang() {
	w := p.busy()[0]
	w.crashed, w.connRefused = true, true
	w.runs = map[cuminstair.TaskID]*fakeRun{}
	p.unlist(w.info.ID)
	for _, x := range p.busy() {
		for id, r := range x.runs {
			x.end(id, r, cuminstair.EndGangBroken)
		}
	}
	p.orders = nil
}

// startedFrom returns the checkpoints of the starts since the gang was broken.
func (p *pool) startedFrom() []string {
	var list []string
	for _, o := range p.orders {
		if o.Kind == dispatch.OrderStart {
			list = append(list, o.Start.Checkpoint)
		}
	}
	return list
}

// Guards against members of a gang that start from different checkpoints after the crash of a worker: the gang would resume
// from two points, or not at all if workers refuse that.
func TestMembersOfAGangStartFromOneCheckpoint(t *testing.T) {
	p := gangPool(t)
	p.breakGang()
	p.run(8 * time.Second)
	list := p.startedFrom()
	p.is.Equal(len(list), 3)
	p.is.True(list[0] != "")
	p.is.Equal(strings.Join(list, ""), strings.Repeat(list[0], 3))
}

// Guards against a new owner that starts a gang from the beginning, or its members from different checkpoints.
func TestCheckpointOfAGangIsKeptOverATakeover(t *testing.T) {
	p := gangPool(t)
	p.breakGang()
	p.run(500 * time.Millisecond)
	p.is.Equal(len(p.orders), 0) // the lease of the crashed worker has not run out
	p.takeOver(200, 0)
	p.run(8 * time.Second)
	list := p.startedFrom()
	p.is.Equal(len(list), 3)
	p.is.True(list[0] != "")
	p.is.Equal(strings.Join(list, ""), strings.Repeat(list[0], 3))
}
