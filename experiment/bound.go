package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"cuminstair.org/cuminstair/pools"
)

// boundOptions says which bound is computed.
type boundOptions struct {
	moves bool // each host serves one queue, and moves take as long as in the load
}

// unit is the work of a step that can be done between two times and earns its part of the job's value.
type unit struct {
	job   *job
	from  time.Time // the earlier steps can't be done before
	until time.Time // the later steps take the rest of the objective
	work  float64   // core-seconds that are left
	// memory is what a core of the work takes, as a multiple of the memory of a host for each of its cores.
	memory float64
}

// unitHeap is a heap of units by deadline.
type unitHeap []*unit

func (h unitHeap) Len() int           { return len(h) }
func (h unitHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h unitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *unitHeap) Push(x any) {
	u, _ := x.(*unit)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *unitHeap) Pop() any {
	old := *h
	u := old[len(old)-1]
	*h = old[:len(old)-1]
	return u
}

// bound computes how much of the work can be in time: work is divided at will, the cores of a pool are filled to the last,
// and a step may take all cores at once. In each pool the work with the earliest deadline comes first, which does the most
// work in time; part of a job earns part of its value, and the rest the value of a late job. No play can do more work in
// time with the same cores. With moves, the hosts follow the known demand as in the policy known, and leave at once.
type bound struct {
	day     *day
	options boundOptions
	now     time.Time
	waiting []unitHeap // by queue, or one for all
	done    map[*job]float64
	hosts   []int // by queue
	arrive  []arrival
	spare   int
	planner *known
	used    []float64 // by queue: cores in use in the last slot, or those whose memory is
	cores   float64   // of a host
	result  Result
}

// arrival is a host on its way to a pool.
type arrival struct {
	at    time.Time
	queue int
}

func computeBound(d *day, p *Policy, seed uint64) Result {
	b := &bound{
		day: d, options: *p.bound, now: begin.Add(-lead), done: map[*job]float64{}, spare: d.load.Spare,
		cores: float64(d.load.Host.CPU) / 1000, used: make([]float64, len(d.load.Queues)),
	}
	b.planner = &known{load: d.load, cores: demandCurves(d), maxMoves: int(d.load.MovesPerSecond * planInterval.Seconds()), utilization: 1}
	for i := range d.load.Queues {
		b.hosts = append(b.hosts, d.load.Queues[i].Hosts)
		b.waiting = append(b.waiting, nil)
	}
	b.result = Result{Load: d.load.Name, Policy: p.Name, Seed: seed}
	b.play(units(d))
	b.fill()
	return b.result
}

// units returns the work of all jobs by queue, in the order in which it can begin.
func units(d *day) []*unit {
	var list []*unit
	for _, j := range d.jobs {
		if j.lasting {
			continue
		}
		from, until := j.sentAt, j.due
		steps := make([]*unit, len(j.tasks))
		for i, tasks := range j.tasks {
			st := &j.spec.Steps[i]
			u := &unit{job: j, from: from, memory: memoryRatio(d.load, st.CPU, st.Memory)}
			longest := time.Duration(0)
			for _, takes := range tasks {
				longest = max(longest, takes)
				u.work += takes.Seconds() * float64(st.CPU) / 1000
			}
			from = from.Add(longest)
			steps[i] = u
		}
		for i := len(steps) - 1; i >= 0; i-- {
			steps[i].until = until
			until = until.Add(-from.Sub(steps[i].from))
			from = steps[i].from
		}
		list = append(list, steps...)
	}
	return list
}

// play goes through the day in slots.
func (b *bound) play(list []*unit) {
	starts := map[int][]*unit{}
	for _, u := range list {
		starts[slot(u.from)] = append(starts[slot(u.from)], u)
	}
	end := begin.Add(seconds(b.day.load.Seconds + drainSeconds))
	for n := 0; b.now.Before(end); n++ {
		b.receive()
		for _, u := range starts[slot(b.now)] {
			if !b.now.Before(begin) {
				heap.Push(&b.waiting[u.job.index], u)
			}
		}
		if b.options.moves {
			b.serveQueues()
			if n%int(planInterval/slotTime) == 0 {
				b.plan()
			}
		} else {
			b.servePooled()
		}
		b.now = b.now.Add(slotTime)
	}
}

// memoryRatio is the memory for each core as a multiple of that of a host.
func memoryRatio(l *Load, cpu, memory int) float64 {
	return float64(memory) / float64(max(1, cpu)) * float64(l.Host.CPU) / float64(l.Host.Memory)
}

// amount is an amount of cores, and of memory in that of a host for each of its cores.
type amount struct{ cores, memory float64 }

func (a amount) plus(b amount, n float64) amount {
	return amount{a.cores + n*b.cores, a.memory + n*b.memory}
}

// most is the larger of both.
func (a amount) most() float64 { return max(a.cores, a.memory) }

// lasting returns what the long-running tasks of queue i take.
func (b *bound) lasting(i int) amount {
	x := &b.day.load.Queues[i].Lasting
	cores := float64(x.Tasks*x.CPU) / 1000
	return amount{cores, cores * memoryRatio(b.day.load, x.CPU, x.Memory)}
}

// pinned returns the least number of hosts for the long-running tasks of queue i.
func (b *bound) pinned(i int) int {
	x := &b.day.load.Queues[i].Lasting
	room := int(math.Ceil(b.lasting(i).most() / b.cores))
	if x.PerWorker == 0 {
		return room
	}
	return max(room, (x.Tasks+x.PerWorker-1)/x.PerWorker)
}

// room returns what hosts have in one slot beside the long-running tasks.
func (b *bound) room(hosts float64, lasting amount) amount {
	r := amount{hosts * b.cores, hosts * b.cores}.plus(lasting, -1)
	return amount{max(0, r.cores) * slotTime.Seconds(), max(0, r.memory) * slotTime.Seconds()}
}

// serveQueues serves each queue with its own hosts.
func (b *bound) serveQueues() {
	for i := range b.waiting {
		used := b.serve(&b.waiting[i], b.room(float64(b.hosts[i]), b.lasting(i)))
		b.used[i] = used.most()
		b.addHosts(float64(b.hosts[i]), used.plus(b.lasting(i), 1).cores)
	}
	for range b.arrive {
		b.addHosts(1, 0)
	}
}

// servePooled serves all queues with all hosts, of which as many count as in use as the work fills.
func (b *bound) servePooled() {
	hosts, lasting, pinned := float64(b.spare), amount{}, 0
	all := unitHeap{}
	for i := range b.waiting {
		hosts += float64(b.hosts[i])
		lasting = lasting.plus(b.lasting(i), 1)
		pinned += b.pinned(i)
		for _, u := range b.waiting[i] {
			heap.Push(&all, u)
		}
		b.waiting[i] = b.waiting[i][:0]
	}
	used := b.serve(&all, b.room(hosts, lasting)).plus(lasting, 1)
	for _, u := range all {
		heap.Push(&b.waiting[u.job.index], u)
	}
	b.addHosts(max(float64(pinned), math.Ceil(used.most()/b.cores)), used.cores)
}

// addHosts adds hosts in pools and cores in use to the result while the traffic lasts.
func (b *bound) addHosts(hosts, cores float64) {
	if b.now.Before(begin) || b.now.After(begin.Add(seconds(b.day.load.Seconds))) {
		return
	}
	b.result.HostSeconds += hosts * slotTime.Seconds()
	b.result.UsedCores += cores * slotTime.Seconds()
}

// serve does work that takes at most room core-seconds in one slot, and returns how much it does for each second. Work whose
// memory does not fit waits for the next slot.
func (b *bound) serve(h *unitHeap, room amount) amount {
	left := room
	var later []*unit
	for h.Len() > 0 && left.cores > 0 && left.memory > 0 {
		u, _ := heap.Pop(h).(*unit)
		if !u.until.After(b.now) {
			continue
		}
		x := min(left.cores, u.work)
		if u.memory > 0 {
			x = min(x, left.memory/u.memory)
		}
		u.work -= x
		left = left.plus(amount{x, x * u.memory}, -1)
		b.done[u.job] += x
		if u.work > 0 {
			later = append(later, u)
		}
	}
	for _, u := range later {
		heap.Push(h, u)
	}
	return amount{}.plus(room, 1/slotTime.Seconds()).plus(left, -1/slotTime.Seconds())
}

// receive adds the hosts that arrive in their pools.
func (b *bound) receive() {
	kept := b.arrive[:0]
	for _, a := range b.arrive {
		if a.at.After(b.now) {
			kept = append(kept, a)
			continue
		}
		b.hosts[a.queue]++
	}
	b.arrive = kept
}

// plan moves hosts with the planner that knows the demand.
func (b *bound) plan() {
	var list []pools.Pool
	index := map[string]int{}
	for i := range b.hosts {
		q := &b.day.load.Queues[i]
		index[q.Name] = i
		p := pools.Pool{Service: q.Name, Have: b.hosts[i], Cores: b.cores, Active: b.used[i], Known: true}
		p.LongRunning, p.Pinned = b.lasting(i).most(), b.pinned(i)
		for _, a := range b.arrive {
			if a.queue == i {
				p.Incoming++
			}
		}
		busy := max(p.Pinned, int(math.Ceil((b.used[i]+p.LongRunning)/b.cores)))
		for n := range max(0, b.hosts[i]-busy) {
			p.Idle = append(p.Idle, fmt.Sprintf("%s-%d", q.Name, n))
		}
		list = append(list, p)
	}
	spare := make([]string, b.spare)
	moves, _ := b.planner.Plan(b.now, list, spare)
	for _, m := range moves {
		b.result.Moves++
		if m.From == sparePool {
			b.spare--
		} else {
			b.hosts[index[m.From]]--
		}
		if m.To == sparePool {
			b.spare++
			continue
		}
		b.arrive = append(b.arrive, arrival{at: b.now.Add(seconds(b.day.load.MoveSeconds)), queue: index[m.To]})
	}
}

// roundingError is the part of a job's work that is lost in sums.
const roundingError = 1e-9

// fill computes the figures of the result.
func (b *bound) fill() {
	r := &b.result
	t := newTally(b.day)
	for _, j := range b.day.jobs {
		if j.lasting {
			continue
		}
		part := b.done[j] / j.work
		if part > 1-roundingError {
			part = 1
		}
		r.OnTime += part
		late := j.queue.LateValue / j.queue.Value
		t.add(j, part+(1-part)*late, shortAll)
	}
	t.fill(r)
	r.OnTime /= float64(max(1, t.all.Jobs))
	r.Late = 1 - r.OnTime
	if r.UsedCores > 0 {
		r.HostRatio = r.HostSeconds * b.cores / r.UsedCores
	}
}
