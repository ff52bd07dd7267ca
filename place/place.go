// Package place scores workers for the placement of tasks. In a nearly full pool with tasks of mixed sizes, best fit
// limits fragmentation; long-running tasks are spread so that the loss of one worker affects each job little.
package place

// Room is the capacity that is free on a worker, or that a task takes.
type Room struct {
	CPU    int // thousandths of a core
	Memory int // MB
	Accel  int // accelerators
}

// Fits reports whether r fits into free.
func (r Room) Fits(free Room) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accel <= free.Accel
}

// Plus returns r + n times o.
func (r Room) Plus(o Room, n int) Room {
	return Room{CPU: r.CPU + n*o.CPU, Memory: r.Memory + n*o.Memory, Accel: r.Accel + n*o.Accel}
}

// Max returns the larger amount of each resource.
func (r Room) Max(o Room) Room {
	return Room{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), Accel: max(r.Accel, o.Accel)}
}

// Candidate is a worker on which the task may be placed.
type Candidate struct {
	Free           Room
	Total          Room    // CPU and Memory are above zero
	SameStep       int     // tasks of the same step on it
	SameRack       int     // tasks of the same step in its rack
	MaintenanceDue bool    // its host is due for maintenance
	RemoteData     bool    // in another rack than the data of the task
	OtherCentre    bool    // in another data centre than the one preferred for the job
	Slowdown       float64 // durations relative to other workers; 1: equal
	LongRunning    int     // long-running tasks on it
	Endangered     bool    // it has long-running tasks and the task may crash it
	Interfering    int     // tasks on it that slow the task down or are slowed down by it
}

// Want describes the requirements of the task.
type Want struct {
	Room   Room
	Spread bool // for long-running tasks: spread a step over racks and over workers that have such tasks already
	Quiet  bool // prefer workers without interfering tasks
}

// Weights of the terms of a score; a lower score is better.
const (
	remoteDataWeight = 4.0
	// otherCentreWeight exceeds the largest difference of two workers by their free room.
	otherCentreWeight = 1.6
	slowdownWeight    = 3.0
	sameStepWeight    = 0.8
	sameRackWeight    = 0.6
	longRunningWeight = 1.0
	interferingWeight = 1.0
	imbalanceWeight   = 0.5
	maintenanceWeight = 6.0
	endangeredWeight  = 3.0
)

// Best returns the index of the best candidate that has room, or -1.
func Best(want Want, list []Candidate) int {
	best, lowest := -1, 0.0
	for i := range list {
		s, ok := Score(&want, &list[i])
		if ok && (best < 0 || s < lowest) {
			best, lowest = i, s
		}
	}
	return best
}

// Score returns the score of a candidate, lower is better, and whether it has room.
func Score(want *Want, c *Candidate) (float64, bool) {
	if !want.Room.Fits(c.Free) {
		return 0, false
	}
	return score(want, c), true
}

// Terms are the parts of a score. Those that do not apply are 0.
type Terms struct {
	FreeCPU     float64 `json:"free_cpu"`               // share of processors that stays free
	Imbalance   float64 `json:"imbalance,omitempty"`    // the surplus of processors or memory can't be used without the other
	Slowdown    float64 `json:"slowdown,omitempty"`     // of the worker
	RemoteData  float64 `json:"remote_data,omitempty"`  // on another rack than the data
	OtherCentre float64 `json:"other_centre,omitempty"` // in another data centre than the one preferred for the job
	Endangered  float64 `json:"endangered,omitempty"`   // it has long-running tasks and the task may crash it
	Maintenance float64 `json:"maintenance,omitempty"`  // its host is due for maintenance
	Spread      float64 `json:"spread,omitempty"`       // tasks of the step on the worker and its rack
	LongRunning float64 `json:"long_running,omitempty"` // below zero: a worker with long-running tasks gets another one
	Interfering float64 `json:"interfering,omitempty"`  // tasks that slow each other down
}

// Sum returns the score.
func (t *Terms) Sum() float64 {
	return t.FreeCPU + t.Imbalance + t.Slowdown + t.RemoteData + t.OtherCentre + t.Endangered + t.Maintenance + t.Spread + t.LongRunning + t.Interfering
}

func score(want *Want, c *Candidate) float64 {
	t := TermsOf(want, c)
	return t.Sum()
}

// TermsOf returns the terms of the score of a candidate that has room: the share of processors that stays free, plus penalties,
// less longRunningWeight for a long-running task on a worker that has such tasks already. A difference between the free shares
// of processors and memory is penalised, because the surplus of one can't be used without the other.
func TermsOf(want *Want, c *Candidate) Terms {
	left := c.Free.Plus(want.Room, -1)
	cpu := float64(left.CPU) / float64(c.Total.CPU)
	memory := float64(left.Memory) / float64(c.Total.Memory)
	t := Terms{FreeCPU: cpu, Imbalance: imbalanceWeight * abs(cpu-memory), Slowdown: slowdownWeight * max(0, c.Slowdown-1)}
	if c.RemoteData {
		t.RemoteData = remoteDataWeight
	}
	if c.OtherCentre {
		t.OtherCentre = otherCentreWeight
	}
	if c.Endangered {
		t.Endangered = endangeredWeight
	}
	if want.Spread && c.MaintenanceDue {
		t.Maintenance = maintenanceWeight
	}
	if want.Spread {
		t.Spread = sameStepWeight*float64(c.SameStep) + sameRackWeight*float64(c.SameRack)
		if c.LongRunning > 0 {
			// Keeps other workers free of long-running tasks, so that their hosts can be moved to another pool.
			t.LongRunning = -longRunningWeight
		}
	}
	if want.Quiet {
		t.Interfering = interferingWeight * float64(c.Interfering)
	}
	return t
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}
