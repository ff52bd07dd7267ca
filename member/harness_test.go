package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminstair.org/cuminstair/member"
)

var start = time.Unix(1_000_000, 0)

// network simulates the membership of many daemons in virtual time over a network that loses messages.
type network struct {
	t       testing.TB
	now     time.Time
	rand    *rand.Rand
	loss    float64
	cut     func(a, b *daemon) bool // true if the partition separates a and b; nil: no partition
	daemons []*daemon
	byAddr  map[string]*daemon
	queue   events
	seq     int
	largest int
	watch   func() // called after each event
}

type daemon struct {
	*member.Members
	up       bool
	sent     int // bytes, packet overhead included
	messages int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (n *network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now.Add(d), n.seq, run})
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
		if n.watch != nil {
			n.watch()
		}
	}
	n.now = end
}

// newNetwork starts count daemons, spread over centres. Each of them except the first has one seed.
func newNetwork(t testing.TB, seed uint64, count, centres int, loss float64) *network {
	n := &network{
		t: t, now: start, rand: rand.New(rand.NewPCG(seed, 1)), loss: loss, byAddr: map[string]*daemon{},
	}
	for i := range count {
		n.add(fmt.Sprintf("entry-%03d", i), fmt.Sprintf("centre-%d", i%centres), 1000+uint64(i))
	}
	return n
}

func (n *network) add(name, centre string, run uint64) *daemon {
	addr := fmt.Sprintf("10.1.%d.%d:7000", len(n.daemons)/250, len(n.daemons)%250)
	d := &daemon{up: true, Members: &member.Members{
		Self: member.Record{Name: name, Centre: centre, Addr: addr, Start: run},
		Rand: rand.New(rand.NewPCG(n.rand.Uint64(), run)),
	}}
	var live []member.Seed
	for _, o := range n.daemons {
		if o.up {
			live = append(live, member.Seed{Name: o.Self.Name, Addr: o.Self.Addr})
		}
	}
	if len(live) > 0 {
		d.Seed([]member.Seed{live[n.rand.IntN(len(live))]})
	}
	n.daemons = append(n.daemons, d)
	n.byAddr[addr] = d
	var tick func()
	tick = func() {
		if d.up {
			n.send(d, d.Tick(n.now))
			n.after(member.Tick, tick)
		}
	}
	n.after(time.Duration(n.rand.Int64N(int64(member.Tick))), tick)
	return d
}

func (n *network) send(from *daemon, sends []member.Send) {
	for _, s := range sends {
		from.sent += len(s.Data) + member.Overhead
		from.messages++
		n.largest = max(n.largest, len(s.Data))
		to := n.byAddr[s.Addr]
		if s.Addr == "" {
			to = n.named(s.Name)
		}
		if to == nil || n.rand.Float64() < n.loss || n.cut != nil && n.cut(from, to) {
			continue
		}
		n.after(500*time.Microsecond+time.Duration(n.rand.Int64N(int64(time.Millisecond))), func() {
			if !to.up {
				return
			}
			replies, err := to.Receive(n.now, from.Self.Name, s.Data)
			if err != nil {
				n.t.Fatalf("receive: %v", err)
			}
			n.send(to, replies)
		})
	}
}

// named returns the running daemon with a name, or nil.
func (n *network) named(name string) *daemon {
	for _, d := range n.daemons {
		if d.up && d.Self.Name == name {
			return d
		}
	}
	return nil
}

// count returns the number of other daemons that a daemon sees in the given health.
func (n *network) count(d *daemon, h member.Health) int {
	c := 0
	for _, m := range d.List(n.now) {
		if m.Name != d.Self.Name && m.Health == h {
			c++
		}
	}
	return c
}

// sees returns the health that d lists for the run other of a daemon, or Gone if d does not list that run.
func (n *network) sees(d, other *daemon) member.Health {
	for _, m := range d.List(n.now) {
		if m.Name == other.Self.Name && m.Start == other.Self.Start {
			return m.Health
		}
	}
	return member.Gone
}
