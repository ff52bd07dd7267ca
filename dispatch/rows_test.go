package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
)

// Largest legal texts: each byte takes six when it is encoded.
var (
	longText       = strings.Repeat("<", 200)
	longCheckpoint = strings.Repeat("\x01", 300)
)

// addWorkers lists n workers with the longest names.
func (x *splitScene) addWorkers(n int) {
	var list []cuminstair.WorkerInfo
	for i := range n {
		name := fmt.Sprintf("%05d", i) + longText[5:]
		list = append(list, cuminstair.WorkerInfo{ID: name, Host: name, Addr: "10.200.100.100:12345", Incarnation: int64(1 + i), Version: 1, CPU: 1000})
	}
	x.s.SetWorkers(x.now, list)
}

// writeAll writes batches until nothing is left to write, and returns the state of the next owner.
func (x *splitScene) writeAll() *Service {
	for b := x.batch(); b != nil; b = x.batch() {
		x.apply(b)
		x.s.Stored(x.now, b)
	}
	return x.nextOwner()
}

// Guards against a record, or a transaction, that grows with what a service has seen until the store refuses it, and with it
// all that the service writes. Each case writes one kind of record at its largest legal size.
func TestRecordsOfTheLargestLegalSizeFitTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		steps []int
		fill  func(x *splitScene)
		check func(x *splitScene, next *Service)
	}{
		"durations of many queues": {
			steps: []int{1},
			fill: func(x *splitScene) {
				a := &attempt{worker: newWorker(x.now, cuminstair.WorkerInfo{}), runTimes: runTimes{sentAt: x.now, answeredAt: x.now}}
				st := x.j.runs[0].steps[0]
				st.Estimate = time.Second
				for i := range 10_000 {
					x.j.queue.Name = fmt.Sprintf("queue-%d-%s", i, longText)
					x.s.recordDuration(x.now.Add(time.Duration(i)*time.Millisecond), x.task(0, 0), a)
				}
				x.is.True(len(x.s.ratio) <= maxRatios) // in memory too
				x.addWorkers(1)                        // a worker that comes made the ratios be written
			},
			check: func(x *splitScene, next *Service) { x.is.Equal(len(next.workers), 1) },
		},
		"workers": {
			steps: []int{1},
			fill:  func(x *splitScene) { x.addWorkers(1300) },
			check: func(x *splitScene, next *Service) {
				x.is.Equal(len(next.workers), 1300)
				for _, w := range x.s.workers {
					x.is.True(w.recorded)
				}
			},
		},
		"starts without an answer": {
			steps: []int{400},
			fill: func(x *splitScene) {
				x.addWorkers(1)
				w := x.s.workers["00000"+longText[5:]]
				for i, t := range x.j.runs[0].steps[0].tasks {
					t.attempt = &attempt{task: t, id: t.id, run: int64(1)<<60 + int64(i), runTimes: runTimes{sentAt: x.now}}
					w.add(t.attempt)
					x.s.recordUnanswered(t.attempt)
				}
			},
			check: func(x *splitScene, next *Service) {
				x.is.True(next.jobs[x.j.id].runs[0].steps[0].tasks[399].attempt != nil) // the latest are kept
			},
		},
		"closed queues": {
			steps: []int{1},
			fill: func(x *splitScene) {
				for i := range 400 {
					x.s.CloseQueue(assignment.Key{Host: longText, Prefix: fmt.Sprintf("/%d%s/", i, longText)}, int64(i+1), func(CloseResult) {})
				}
			},
			check: func(x *splitScene, next *Service) {
				x.is.True(next.closings[assignment.Key{Host: longText, Prefix: "/399" + longText + "/"}] != nil)
			},
		},
		"checkpoints of gangs": {
			steps: make([]int, 64),
			fill: func(x *splitScene) {
				for k := range 127 {
					x.j.runs = append(x.j.runs, x.j.occurrence(k+1, make([]time.Duration, 64)))
				}
				for _, o := range x.j.runs {
					for i, st := range o.steps {
						st.Gang = true
						st.saved = gangCheckpoint{Value: longCheckpoint[:40+i%2*260], Run: 1 << 60}
					}
				}
				x.j.next = len(x.j.runs)
				x.s.markDirty(x.j)
			},
			check: func(x *splitScene, next *Service) {
				runs := next.jobs[x.j.id].runs
				x.is.Equal(len(runs), 128)
				x.is.Equal(runs[127].steps[62].saved.Value, longCheckpoint[:40])
				x.is.Equal(runs[127].steps[63].saved.Value, "")
			},
		},
		"failed runs, crashes and checkpoints of tasks": {
			steps: []int{200},
			fill: func(x *splitScene) {
				for _, t := range x.j.runs[0].steps[0].tasks {
					t.checkpoint = longCheckpoint[:256]
					for i := range 5000 {
						t.addFailure(1<<60 + int64(i))
					}
					for range 50 {
						x.s.addCrash(t, crash{Run: 1 << 60, Worker: longText, Confirmed: true, Started: true, Late: true})
					}
				}
			},
			check: func(x *splitScene, next *Service) {
				u := next.jobs[x.j.id].runs[0].steps[0].tasks[199]
				x.is.Equal(u.failures(), 5000)
				x.is.Equal(len(u.crashes), maxListedCrashes)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			steps := make([]int, len(c.steps))
			for i, n := range c.steps {
				steps[i] = max(1, n)
			}
			x := newSplitScene(t, steps...)
			c.fill(x)
			c.check(x, x.writeAll())
		})
	}
}
