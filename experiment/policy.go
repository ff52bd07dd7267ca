package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/pools"
)

// unlimited is added to the target of queues without refusal, so that each job can be on time.
const unlimited = time.Hour

// Policy is a set of decisions that a day is played with.
type Policy struct {
	Name    string
	Usage   string
	planner func(s *sim) hostPlanner
	// submission returns the job and the queue as the owner of the service sees them.
	submission func(now time.Time, j *job) (*cuminstair.JobSpec, cuminstair.WorkQueue)
	bound      *boundOptions // not nil: no day is played, the bound is computed
}

// Policies lists the present decisions, the baselines and the bounds.
func Policies() []Policy {
	return []Policy{
		{Name: "present", Usage: "the decisions of the product", planner: presentPlanner, submission: asSent},
		{Name: "fcfs", Usage: "first come, first served; nothing is refused", planner: presentPlanner, submission: byArrival},
		{Name: "no-refusal", Usage: "the product's order and pools; nothing is refused", planner: presentPlanner, submission: accepted},
		{Name: "deadline", Usage: "earliest deadline first; nothing is refused", planner: presentPlanner, submission: byDeadline},
		{Name: "fixed", Usage: "the product without moves of hosts", planner: noPlanner, submission: asSent},
		{Name: "known", Usage: "the product with pools that follow the known demand", planner: knownPlanner, submission: asSent},
		{Name: "clairvoyant", Usage: "bound: demand known, moves as usual, perfect packing", bound: &boundOptions{moves: true}},
		{Name: "pooled", Usage: "bound: demand known, all hosts serve all queues, perfect packing", bound: &boundOptions{}},
	}
}

// ErrPolicy means that there is no such policy.
const ErrPolicy = errors.ConstError("unknown policy")

// PolicyNamed returns the policy with a name. Error: ErrPolicy.
func PolicyNamed(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("%q: %w", name, ErrPolicy)
}

func asSent(_ time.Time, j *job) (*cuminstair.JobSpec, cuminstair.WorkQueue) {
	return j.spec, j.queue.work()
}

// byArrival gives all jobs the same slack, so that steps are placed in the order in which their jobs came.
func byArrival(_ time.Time, j *job) (*cuminstair.JobSpec, cuminstair.WorkQueue) {
	q := j.queue.work()
	q.TargetFactor, q.Target = 1, unlimited
	return j.spec, q
}

// byDeadline shifts all deadlines by the same time, so that no job counts as late.
func byDeadline(_ time.Time, j *job) (*cuminstair.JobSpec, cuminstair.WorkQueue) {
	q := j.queue.work()
	q.Target += unlimited
	return j.spec, q
}

// accepted gives the job a due time, which is its submission: the product accepts jobs with a due time at once.
func accepted(now time.Time, j *job) (*cuminstair.JobSpec, cuminstair.WorkQueue) {
	if j.lasting {
		return asSent(now, j)
	}
	spec := *j.spec
	spec.First = now.UnixMilli()
	return &spec, j.queue.work()
}

func noPlanner(*sim) hostPlanner { return nil }

// known plans pools that follow the demand of the day, which it knows ahead. Like the product it moves only idle hosts.
type known struct {
	load        *Load
	cores       map[string][]float64 // by queue and slot: cores of its jobs if none of them had to wait
	maxMoves    int
	utilization float64 // part of the cores that placement fills
}

// slotTime is the length of a slot of a demand curve.
const slotTime = 100 * time.Millisecond

const (
	// knownUtilization is the part of the cores that placement fills.
	knownUtilization = 0.85
	// knownLead is added to the time of a move for the first contact with the worker and the pause between two plans.
	knownLead = 800 * time.Millisecond
	// knownMinHosts is the smallest number of hosts of a pool, as in package pools.
	knownMinHosts = 2
)

func knownPlanner(s *sim) hostPlanner {
	return &known{
		load: s.day.load, cores: demandCurves(s.day), maxMoves: int(s.day.load.MovesPerSecond * planInterval.Seconds()),
		utilization: knownUtilization,
	}
}

// Plan implements hostPlanner. The pool that lacks the largest part of its hosts comes first.
func (k *known) Plan(now time.Time, list []pools.Pool, spare []string) (moves []pools.Move, yields []pools.Yield) {
	want := map[string]int{}
	for i := range list {
		want[list[i].Service] = k.wanted(now, &list[i])
	}
	lacking := func(p *pools.Pool) int { return want[p.Service] - p.Have - p.Incoming }
	for len(moves) < k.maxMoves {
		var to *pools.Pool
		share := 0.0
		for i := range list {
			p := &list[i]
			if x := float64(lacking(p)) / float64(max(1, want[p.Service])); x > share {
				to, share = p, x
			}
		}
		if to == nil {
			break
		}
		m := pools.Move{To: to.Service, From: sparePool, Reason: "known"}
		if len(spare) > 0 {
			m.Host, spare = spare[0], spare[1:]
		} else if from := surplusPool(list, lacking); from != nil {
			m.From, m.Host, from.Idle = from.Service, from.Idle[0], from.Idle[1:]
			from.Have--
		} else {
			break
		}
		to.Incoming++
		moves = append(moves, m)
	}
	for i := range list {
		p := &list[i]
		for len(moves) < k.maxMoves && len(p.Idle) > 0 && lacking(p) < 0 {
			moves = append(moves, pools.Move{Host: p.Idle[0], From: p.Service, To: sparePool, Reason: "idle"})
			p.Idle = p.Idle[1:]
			p.Have--
		}
	}
	return moves, nil
}

// surplusPool returns the pool with idle hosts that has the most hosts beyond those it needs, or nil.
func surplusPool(list []pools.Pool, lacking func(*pools.Pool) int) *pools.Pool {
	var best *pools.Pool
	for i := range list {
		p := &list[i]
		if len(p.Idle) > 0 && lacking(p) < 0 && (best == nil || lacking(p) < lacking(best)) {
			best = p
		}
	}
	return best
}

// wanted is the number of hosts that a pool needs until a host ordered later could arrive.
func (k *known) wanted(now time.Time, p *pools.Pool) int {
	if !p.Known {
		return p.Have + p.Incoming
	}
	curve := k.cores[p.Service]
	first := slot(now)
	last := slot(now.Add(seconds(k.load.MoveSeconds) + knownLead))
	need := p.Active
	for i := max(0, first); i <= min(last, len(curve)-1); i++ {
		need = max(need, curve[i])
	}
	cores := float64(k.load.Host.CPU) / 1000
	return max(knownMinHosts, p.Pinned, p.Spread, int(math.Ceil((need/k.utilization+p.LongRunning)/cores)))
}

// slot returns the slot of a time.
func slot(t time.Time) int { return int(t.Sub(begin) / slotTime) }

// demandCurves returns for each queue the cores that its jobs use over time if none of them has to wait, or those whose
// memory they use if these are more.
func demandCurves(d *day) map[string][]float64 {
	curves, memory := map[string][]float64{}, map[string][]float64{}
	for i := range d.load.Queues {
		slots := int(seconds(d.load.Seconds+drainSeconds) / slotTime)
		curves[d.load.Queues[i].Name], memory[d.load.Queues[i].Name] = make([]float64, slots), make([]float64, slots)
	}
	for _, j := range d.jobs {
		if j.lasting {
			continue
		}
		ready := j.sentAt
		for i := range j.spec.Steps {
			st := &j.spec.Steps[i]
			cores := float64(st.CPU) / 1000
			longest := time.Duration(0)
			for _, takes := range j.tasks[i] {
				longest = max(longest, takes)
				addUse(curves[j.queue.Name], ready, takes, cores)
				addUse(memory[j.queue.Name], ready, takes, cores*memoryRatio(d.load, st.CPU, st.Memory))
			}
			ready = ready.Add(longest)
		}
	}
	for name, curve := range curves {
		for i := range curve {
			curve[i] = max(curve[i], memory[name][i])
		}
	}
	return curves
}

// addUse adds the use of cores from a time on to a curve.
func addUse(curve []float64, from time.Time, takes time.Duration, cores float64) {
	for i := max(0, slot(from)); i < len(curve); i++ {
		start := begin.Add(time.Duration(i) * slotTime)
		a, b := start, start.Add(slotTime)
		if from.After(a) {
			a = from
		}
		if end := from.Add(takes); end.Before(b) {
			b = end
		}
		if !b.After(a) {
			return
		}
		curve[i] += cores * float64(b.Sub(a)) / float64(slotTime)
	}
}
