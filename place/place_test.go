package place_test

import (
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/place"
)

var total = place.Room{CPU: 32000, Memory: 128000}

func free(cpu, memory int) place.Candidate {
	return place.Candidate{Free: place.Room{CPU: cpu, Memory: memory}, Total: total, Slowdown: 1}
}

func with(c place.Candidate, change func(*place.Candidate)) place.Candidate {
	change(&c)
	return c
}

// Guards against fragmentation of free room, the choice of slow workers or workers without room, and a concentration
// of long-running tasks of one step.
func TestBest(t *testing.T) {
	task := place.Want{Room: place.Room{CPU: 4000, Memory: 8000}}
	longRunning := place.Want{Room: task.Room, Spread: true}
	emptyWorker := free(32000, 128000)
	for _, c := range []struct {
		name string
		want place.Want
		list []place.Candidate
		best int // index in list; -1: none
	}{
		{"no room", task, []place.Candidate{free(3000, 128000), free(32000, 7000)}, -1},
		{"fullest worker with room", task, []place.Candidate{emptyWorker, free(6000, 24000), free(12000, 48000)}, 1},
		{"CPU and memory used in proportion", task, []place.Candidate{free(8000, 128000), free(8000, 32000)}, 1},
		{"slow worker", task, []place.Candidate{with(free(6000, 24000), func(c *place.Candidate) { c.Slowdown = 3 }), emptyWorker}, 1},
		{"worker in another rack than the data", task, []place.Candidate{with(free(6000, 24000), func(c *place.Candidate) { c.RemoteData = true }), emptyWorker}, 1},
		{"data centre of the job", task, []place.Candidate{with(free(6000, 24000), func(c *place.Candidate) { c.OtherCentre = true }), emptyWorker}, 1},
		{"long-running tasks on few workers", longRunning, []place.Candidate{emptyWorker, with(emptyWorker, func(c *place.Candidate) { c.LongRunning = 2 })}, 1},
		{"long-running tasks of a step on several workers", longRunning, []place.Candidate{
			with(emptyWorker, func(c *place.Candidate) { c.LongRunning, c.SameStep, c.SameRack = 2, 2, 2 }), emptyWorker,
		}, 1},
		{"long-running tasks of a step in several racks", longRunning, []place.Candidate{with(emptyWorker, func(c *place.Candidate) { c.SameRack = 2 }), emptyWorker}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(place.Best(c.want, c.list), c.best)
		})
	}
}
