package experiment

import (
	"fmt"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Load describes a deployment and the work of a day. Times are in seconds, CPU is in thousandths of a core and memory in
// MB.
type Load struct {
	Name    string   `json:"name"`
	Seconds float64  `json:"seconds"` // length of the traffic
	Centres []string `json:"centres"`
	Host    Host     `json:"host"`
	Spare   int      `json:"spare"` // hosts that are switched off at the start
	Queues  []Queue  `json:"queues"`
	Turn    Turn     `json:"turn"`
	// MoveSeconds is the time in which a host moves to another pool, and MovesPerSecond the orders that the controller of
	// hosts accepts.
	MoveSeconds    float64 `json:"moveSeconds"`
	MovesPerSecond float64 `json:"movesPerSecond"`
	WriteSeconds   float64 `json:"writeSeconds"`  // time of a write to the store
	LingerSeconds  float64 `json:"lingerSeconds"` // for which the list of workers shows a worker that has ended
	Retries        int     `json:"retries"`       // of a refused client
	Bursts         []Burst `json:"bursts"`
	Faults         []Fault `json:"faults"`
}

// Burst multiplies the rate of a queue by Factor between At and At + Seconds.
type Burst struct {
	Queue   string  `json:"queue"`
	At      float64 `json:"at"`
	Seconds float64 `json:"seconds"`
	Factor  float64 `json:"factor"` // at least 1
}

// Host describes the hosts, which are all of about the same size.
type Host struct {
	CPU    int     `json:"cpu"`
	Memory int     `json:"memory"`
	Rack   int     `json:"rack"`   // hosts of a rack
	Spread float64 `json:"spread"` // standard deviation of the logarithm of the time that a host takes for a task
}

// Queue describes a queue, its pool of the same name, and its jobs.
type Queue struct {
	Name         string  `json:"name"`
	Hosts        int     `json:"hosts"` // of its pool at the start
	Rate         float64 `json:"rate"`  // mean jobs per second
	Target       float64 `json:"target"`
	TargetFactor float64 `json:"targetFactor"` // see cuminstair.WorkQueue
	Value        float64 `json:"value"`        // of a job of average work that is on time
	LateValue    float64 `json:"lateValue"`    // of one that is late
	Steps        Size    `json:"steps"`
	Tasks        Size    `json:"tasks"` // of a step
	CPU          Size    `json:"cpu"`
	Memory       Size    `json:"memory"`
	Seconds      Size    `json:"seconds"`  // duration of a task
	Uneven       float64 `json:"uneven"`   // greatest deviation of a task from the duration of its step, as a part
	EstimateOff  float64 `json:"estimate"` // greatest deviation of the declared duration, as a part
	Separate     float64 `json:"separate"` // part of the steps whose tasks need separate workers
	Lasting      Lasting `json:"lasting"`
}

// Lasting is a job of long-running tasks that is there from the start to the end.
type Lasting struct {
	Tasks     int `json:"tasks"`
	CPU       int `json:"cpu"`
	Memory    int `json:"memory"`
	PerWorker int `json:"perWorker"` // most of its tasks on one worker; 0: no limit
}

// Size is a random size with a logarithmic normal distribution.
type Size struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"` // standard deviation of the logarithm
	Max    float64 `json:"max"`    // 0: no limit
	// Tail is the part of the sizes that are multiplied by TailFactor.
	Tail       float64 `json:"tail"`
	TailFactor float64 `json:"tailFactor"`
}

// Kinds of faults.
const (
	FaultRack    = "rack"    // the first Count hosts of the pool Pool lose power, and return afterwards
	FaultCentre  = "centre"  // the workers of the data centre Centre can't be reached, but run on
	FaultStore   = "store"   // the store answers nothing
	FaultDaemons = "daemons" // all daemons are down, and start again afterwards
)

// Fault is a fault between At and At + Seconds.
type Fault struct {
	Kind    string  `json:"kind"`
	At      float64 `json:"at"`
	Seconds float64 `json:"seconds"`
	Pool    string  `json:"pool,omitempty"`
	Count   int     `json:"count,omitempty"`
	Centre  string  `json:"centre,omitempty"`
}

// ErrLoad means that a load is invalid.
const ErrLoad = errors.ConstError("invalid load")

// Limits of a load, which keep a play within minutes and the memory of one machine.
const (
	maxSeconds = 3600
	maxHosts   = 10_000
)

// Validate checks the load. Error: ErrLoad, with the invalid field.
func (l *Load) Validate() error {
	hosts := l.Spare
	for i := range l.Queues {
		q := &l.Queues[i]
		hosts += q.Hosts
		if err := q.validate(); err != nil {
			return fmt.Errorf("queue %q: %w", q.Name, err)
		}
	}
	for _, c := range []struct {
		bad  bool
		what string
	}{
		{l.Seconds <= 0 || l.Seconds > maxSeconds, "seconds"},
		{len(l.Centres) == 0, "centres"},
		{len(l.Queues) == 0, "queues"},
		{l.Spare < 0 || hosts > maxHosts, "number of hosts"},
		{l.Host.CPU <= 0 || l.Host.Memory <= 0 || l.Host.Rack <= 0, "host"},
		{float64(hosts) > hostSizeSpread*float64(min(l.Host.CPU, l.Host.Memory)), "host: too many hosts for sizes that all differ"},
		{l.Host.Spread < 0 || l.Host.Spread > 1, "host.spread"},
		{l.MoveSeconds < 0 || l.MovesPerSecond <= 0, "moveSeconds or movesPerSecond"},
		{l.WriteSeconds <= 0 || l.LingerSeconds < 0 || l.Retries < 0, "writeSeconds, lingerSeconds or retries"},
		{!l.Turn.valid(), "turn"},
	} {
		if c.bad {
			return fmt.Errorf("%s: %w", c.what, ErrLoad)
		}
	}
	for _, b := range l.Bursts {
		if l.queue(b.Queue) == nil || b.Factor < 1 || b.Seconds <= 0 {
			return fmt.Errorf("burst at %g s: unknown queue, factor below 1 or no time: %w", b.At, ErrLoad)
		}
	}
	for _, f := range l.Faults {
		if err := l.validateFault(f); err != nil {
			return err
		}
	}
	return nil
}

func (q *Queue) validate() error {
	for _, s := range []Size{q.Steps, q.Tasks, q.CPU, q.Memory, q.Seconds} {
		if s.Mean <= 0 || s.Spread < 0 || s.Max < 0 || s.Tail < 0 || s.TailFactor < 0 {
			return fmt.Errorf("a size is out of range: %w", ErrLoad)
		}
	}
	if q.Name == "" || q.Hosts < 1 || q.Rate < 0 || q.Target < 0 || q.TargetFactor < 1 {
		return fmt.Errorf("name, hosts, rate, target or targetFactor: %w", ErrLoad)
	}
	if q.Uneven < 0 || q.Uneven >= 1 || q.EstimateOff < 0 || q.Separate < 0 || q.Separate > 1 || q.Lasting.Tasks < 0 {
		return fmt.Errorf("uneven, estimate, separate or lasting: %w", ErrLoad)
	}
	return nil
}

func (l *Load) validateFault(f Fault) error {
	known := false
	switch f.Kind {
	case FaultRack:
		known = l.queue(f.Pool) != nil && f.Count > 0
	case FaultCentre:
		for _, c := range l.Centres {
			known = known || c == f.Centre
		}
	case FaultStore, FaultDaemons:
		known = true
	default:
	}
	if !known || f.At < 0 || f.Seconds <= 0 {
		return fmt.Errorf("fault %q at %g s: unknown kind, pool or centre, or no time: %w", f.Kind, f.At, ErrLoad)
	}
	return nil
}

func (l *Load) queue(name string) *Queue {
	for i := range l.Queues {
		if l.Queues[i].Name == name {
			return &l.Queues[i]
		}
	}
	return nil
}

// work returns the queue as the product knows it.
func (q *Queue) work() cuminstair.WorkQueue {
	return cuminstair.WorkQueue{
		Name: q.Name, Service: q.Name, Timeout: seconds(3), Target: seconds(q.Target), TargetFactor: q.TargetFactor, Attempts: 4,
	}
}
