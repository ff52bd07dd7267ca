// Package place chooses workers for tasks. It answers a pool that is nearly full with tasks of mixed sizes: best fit
// keeps large gaps whole, and long-running tasks are spread so that the loss of one worker costs each job little.
package place

// Room is what a worker has free, or what a task takes.
type Room struct {
	CPU    int // thousandths of a core
	Memory int // MB
	Accel  int
}

// Fits tells whether r is at most free.
func (r Room) Fits(free Room) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accel <= free.Accel
}

// Plus returns r + n times o.
func (r Room) Plus(o Room, n int) Room {
	return Room{CPU: r.CPU + n*o.CPU, Memory: r.Memory + n*o.Memory, Accel: r.Accel + n*o.Accel}
}

// Candidate is a worker that may take the task.
type Candidate struct {
	Free        Room
	Total       Room    // above zero in CPU and Memory
	Same        int     // tasks of the same step on it
	SameRack    int     // tasks of the same step in its rack
	Due         bool    // its host is due for maintenance
	Far         bool    // away from the data of the task
	Slow        float64 // how much longer tasks take than on other workers; 1: as long
	LongRunning int     // long-running tasks on it
	Shared      int     // tasks on it that disturb, or are disturbed by, the task
}

// Want is what the task needs.
type Want struct {
	Room   Room
	Spread bool // a long-running task: few of its step on one worker or rack, few workers with long-running tasks
	Quiet  bool // prefer workers without tasks that disturb it
}

// Weights of the parts of a score; a lower score is better.
const (
	farWeight    = 4.0
	slowWeight   = 3.0
	sameWeight   = 0.8
	rackWeight   = 0.6
	pinnedWeight = 1.0
	sharedWeight = 1.0
	strandWeight = 0.5
	dueWeight    = 6.0
)

// Best returns the index of the best candidate that has room, or -1.
func Best(want Want, list []Candidate) int {
	best, low := -1, 0.0
	for i := range list {
		s, ok := Score(&want, &list[i])
		if ok && (best < 0 || s < low) {
			best, low = i, s
		}
	}
	return best
}

// Score tells how well a candidate suits, less is better, and whether it has room.
func Score(want *Want, c *Candidate) (float64, bool) {
	if !want.Room.Fits(c.Free) {
		return 0, false
	}
	return score(want, c), true
}

// score is the share of processors that stays free, plus what speaks against the worker. Processors and memory that are
// left in unlike shares are stranded and count as well.
func score(want *Want, c *Candidate) float64 {
	left := c.Free.Plus(want.Room, -1)
	cpu := float64(left.CPU) / float64(c.Total.CPU)
	memory := float64(left.Memory) / float64(c.Total.Memory)
	s := cpu + strandWeight*abs(cpu-memory) + slowWeight*max(0, c.Slow-1)
	if c.Far {
		s += farWeight
	}
	if want.Spread && c.Due {
		s += dueWeight
	}
	if want.Spread {
		s += sameWeight*float64(c.Same) + rackWeight*float64(c.SameRack)
		if c.LongRunning > 0 {
			// Workers without long-running tasks can be given to another pool.
			s -= pinnedWeight
		}
	}
	if want.Quiet {
		s += sharedWeight * float64(c.Shared)
	}
	return s
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}
