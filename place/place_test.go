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

// Guards against fragmentation of free room, the choice of full or slow workers, and a concentration of long-running
// tasks of one step.
func TestBest(t *testing.T) {
	task := place.Want{Room: place.Room{CPU: 4000, Memory: 8000}}
	longRunning := place.Want{Room: task.Room, Spread: true}
	whole := free(32000, 128000)
	for _, c := range []struct {
		name string
		want place.Want
		list []place.Candidate
		best int
	}{
		{"no room", task, []place.Candidate{free(3000, 128000), free(32000, 7000)}, -1},
		{"the fullest that fits", task, []place.Candidate{whole, free(6000, 24000), free(12000, 48000)}, 1},
		{"memory would be stranded", task, []place.Candidate{free(8000, 128000), free(8000, 32000)}, 1},
		{"slow worker", task, []place.Candidate{with(free(6000, 24000), func(c *place.Candidate) { c.Slowdown = 3 }), whole}, 1},
		{"away from its data", task, []place.Candidate{with(free(6000, 24000), func(c *place.Candidate) { c.RemoteData = true }), whole}, 1},
		{"longRunning tasks stay on few workers", longRunning, []place.Candidate{whole, with(whole, func(c *place.Candidate) { c.LongRunning = 2 })}, 1},
		{"but not all of a step on one", longRunning, []place.Candidate{
			with(whole, func(c *place.Candidate) { c.LongRunning, c.SameStep, c.SameRack = 2, 2, 2 }), whole,
		}, 1},
		{"nor in one rack", longRunning, []place.Candidate{with(whole, func(c *place.Candidate) { c.SameRack = 2 }), whole}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(place.Best(c.want, c.list), c.best)
		})
	}
}
