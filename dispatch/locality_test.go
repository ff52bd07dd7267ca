package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

const jobC = "00000000000000cc"

// taskCPU is the CPU of the tasks that want a rack; fullWorker of them fill a worker.
const (
	taskCPU    = 4000
	fullWorker = hostCPU / taskCPU
)

// newRacks returns a pool with racks 0, 1 and 2, in which tasks take three times as long away from the rack that they want. The
// tasks of job B run for busy.
func newRacks(t *testing.T, workers int, busy time.Duration) *pool {
	p := newPool(t, workers)
	p.s.Bounds.RemoteFactor = 3
	p.duration = func(id cuminstair.TaskID) time.Duration {
		if id.Job == jobB {
			return busy
		}
		return 600 * time.Millisecond
	}
	p.run(200 * time.Millisecond)
	return p
}

func dataOn(rack string, count int) cuminstair.JobStep {
	s := step(count, taskCPU)
	s.DataRack = rack
	return s
}

// runsOn counts the runs of job A by rack.
func (p *pool) runsOn() map[string]int {
	n := map[string]int{}
	for _, w := range p.workers {
		for id := range w.runs {
			if id.Job == jobA {
				n[w.info.Rack]++
			}
		}
	}
	return n
}

// Guards against a task that starts on another rack although there is soon room on its own, and a wait that holds others back or
// makes the placement run all the time.
func TestTaskWaitsForItsRack(t *testing.T) {
	p := newRacks(t, 3, 600*time.Millisecond)
	p.submit(jobB, dataOn("0", fullWorker))
	p.run(300 * time.Millisecond)
	p.submit(jobA, dataOn("0", 2))
	p.run(100 * time.Millisecond)
	p.is.Equal(p.running(), 0)
	p.is.True(!p.s.PlacementDue())
	p.submit(jobC, step(1, taskCPU))
	p.run(3 * tick)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobC}], 1)
	p.run(400 * time.Millisecond)
	p.is.Equal(p.runsOn(), map[string]int{"0": 2})
	p.run(2 * time.Second)
	p.is.Equal(p.s.Counts().Locality, dispatch.LocalityCounts{Near: fullWorker, WaitedNear: 2})
}

// Guards against a task that waits for a rack for ever, and against durations on another rack that are taken for slow tasks and
// slow workers.
func TestWaitForARackEnds(t *testing.T) {
	p := newRacks(t, 3, time.Hour)
	unending := dataOn("0", fullWorker)
	unending.Estimate = time.Second // so that it isn't stopped as stuck
	p.submit(jobB, unending)
	p.run(300 * time.Millisecond)
	p.duration = func(id cuminstair.TaskID) time.Duration {
		if id.Job == jobB {
			return time.Hour
		}
		return 1800 * time.Millisecond
	}
	p.submit(jobA, dataOn("0", 2))
	p.run(200 * time.Millisecond)
	p.is.Equal(p.running(), 0)
	p.run(1200 * time.Millisecond) // until after its latest start
	p.is.Equal(p.running(), 2)
	p.is.Equal(p.runsOn()["0"], 0)
	p.is.Equal(p.s.Counts().Locality, dispatch.LocalityCounts{Near: fullWorker, WaitedRemote: 2})
	p.run(3 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.True(p.s.Ratio("q") < 1.1)
	for _, w := range p.workers {
		p.is.True(p.s.Slowdown(w.info.ID) < 1.1)
	}
}

// Guards against a wait for a rack on which no worker can run the task, and a wait in deployments without a factor.
func TestNoWaitForARackThatCannotRunTheTask(t *testing.T) {
	for name, change := range map[string]func(p *pool, s *cuminstair.JobStep){
		"no such rack": func(_ *pool, s *cuminstair.JobStep) { s.DataRack = "9" },
		"no factor":    func(p *pool, _ *cuminstair.JobStep) { p.s.Bounds.RemoteFactor = 1 },
		"label": func(p *pool, s *cuminstair.JobStep) {
			s.Label = "large"
			for i := range p.list {
				if p.list[i].Rack != "0" {
					p.list[i].Labels = []string{"large"}
				}
			}
			p.s.SetWorkers(p.now, p.list)
		},
		"leaving": func(p *pool, _ *cuminstair.JobStep) {
			p.list[0].State = cuminstair.WorkerLeaving
			p.s.SetWorkers(p.now, p.list)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newRacks(t, 3, 600*time.Millisecond)
			p.submit(jobB, dataOn("0", fullWorker))
			p.run(300 * time.Millisecond)
			s := dataOn("0", 2)
			change(p, &s)
			p.submit(jobA, s)
			p.run(100 * time.Millisecond)
			p.is.Equal(p.running(), 2)
		})
	}
}

// Guards against a group that is spread over racks although one has room for it or will soon, and one that waits for ever.
func TestGroupGetsOneRack(t *testing.T) {
	const size = fullWorker + 2 // more than a worker holds
	for _, gang := range []bool{false, true} {
		group := step(size, taskCPU)
		group.OneRack, group.Gang = true, gang
		t.Run("room", func(t *testing.T) {
			p := newRacks(t, 6, time.Hour)
			p.submit(jobB, dataOn("2", 4))
			p.run(200 * time.Millisecond)
			p.submit(jobA, group)
			p.run(100 * time.Millisecond)
			p.is.Equal(p.runsOn(), map[string]int{"2": size}) // the least room that is enough
		})
		t.Run("room soon", func(t *testing.T) {
			p := newRacks(t, 6, 600*time.Millisecond)
			p.submit(jobB, dataOn("0", fullWorker), dataOn("1", fullWorker), dataOn("2", fullWorker))
			p.run(300 * time.Millisecond)
			p.submit(jobA, group)
			p.run(500 * time.Millisecond)
			p.is.Equal(len(p.runsOn()), 1)
			p.run(2 * time.Second)
			p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
			p.is.Equal(p.s.Counts().Locality.WaitedNear, size)
		})
		t.Run("no room", func(t *testing.T) {
			p := newRacks(t, 6, time.Hour)
			p.submit(jobB, dataOn("0", fullWorker), dataOn("1", fullWorker), dataOn("2", fullWorker))
			p.run(300 * time.Millisecond)
			p.duration = func(cuminstair.TaskID) time.Duration { return time.Hour }
			p.submit(jobA, group)
			p.run(1500 * time.Millisecond)
			p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA, Index: size - 1}], 1)
			p.is.True(p.s.Counts().Locality.WaitedRemote > 0)
		})
		t.Run("no rack is large enough", func(t *testing.T) {
			p := newRacks(t, 3, time.Hour)
			p.submit(jobA, group)
			p.run(100 * time.Millisecond)
			p.is.Equal(p.running(), size)
		})
	}
}
