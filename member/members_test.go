package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/member"
)

// Guards against a killed daemon that is still used in its data centre after 2 s, and against live daemons that are
// marked as gone: in a small fleet when a fifth of the messages are lost, in a large one when most daemons are not
// exchange partners.
func TestKilledDaemonIsOutOfUse(t *testing.T) {
	for _, c := range []struct {
		seed           uint64
		count, centres int
		loss           float64
	}{{1, 9, 3, 0.2}, {2, 9, 3, 0.2}, {3, 9, 3, 0.2}, {4, 60, 2, 0}} {
		n := newNetwork(t, c.seed, c.count, c.centres, c.loss)
		n.run(40 * time.Second)
		for range 10 {
			n.run(time.Second)
			for _, d := range n.daemons {
				if got := n.count(d, member.Healthy) + n.count(d, member.Suspect); got != c.count-1 {
					t.Fatalf("seed %d: %s sees %d of %d", c.seed, d.Self.Name, got, c.count-1)
				}
			}
		}
		dead := n.daemons[4]
		dead.up = false
		n.run(2 * time.Second)
		for _, d := range n.daemons {
			if d != dead && d.Self.Centre == dead.Self.Centre && n.sees(d, dead) == member.Healthy {
				t.Fatalf("seed %d: %s still uses the killed daemon", c.seed, d.Self.Name)
			}
		}
	}
}

// Guards against live daemons of a small fleet that are suspected when a fifth of the messages are lost, and against a
// killed one that daemons of other data centres still use after 2 s.
func TestSmallFleetIsWatchedClosely(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		n := newNetwork(t, seed, 9, 3, 0.2)
		n.run(15 * time.Second)
		for range 100 {
			n.run(100 * time.Millisecond)
			for _, d := range n.daemons {
				if got := n.count(d, member.Healthy); got != 8 {
					t.Fatalf("seed %d: %s sees %d of 8 healthy", seed, d.Self.Name, got)
				}
			}
		}
		dead := n.daemons[4]
		dead.up = false
		n.run(2 * time.Second)
		for _, d := range n.daemons {
			if d != dead && n.sees(d, dead) == member.Healthy {
				t.Fatalf("seed %d: %s still uses the killed daemon", seed, d.Self.Name)
			}
		}
	}
}

// Guards against urgent updates that are sent only with the next tick.
func TestUrgentNewsAreSentAtOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 9, 9, 3, 0)
	n.run(15 * time.Second)
	d := n.daemons[0]
	sends, _ := d.SetUpstreams(n.now, []string{"host-17"}, nil, nil)
	is.True(len(sends) > 0)
	n.send(d, sends)
	n.send(d, d.SetGeneration(n.now, 5))
	n.run(10 * time.Millisecond) // shorter than a tick
	for _, o := range n.daemons {
		is.True(o.Self.Centre != d.Self.Centre || knowsLeaving(n, o, "host-17"))
		is.True(o.Self.Centre != d.Self.Centre || o.Top() == 5)
	}
	is.True(len(d.SetState(n.now, member.Leaving, "", 0)) > 0)
}

// Guards against daemons that exceed the byte rate of a node's control plane, and digests that don't fit into a
// datagram.
func TestBytesPerSecond(t *testing.T) {
	for _, count := range []int{9, 50} {
		n := newNetwork(t, 7, count, 4, 0)
		n.run(40 * time.Second)
		for _, d := range n.daemons {
			d.sent = 0
		}
		n.run(10 * time.Second)
		for _, d := range n.daemons {
			if d.sent > 10*3000 {
				t.Fatalf("%d daemons: %s sent %d bytes in 10 s", count, d.Self.Name, d.sent)
			}
		}
		if n.largest > member.MaxDigest {
			t.Fatalf("digest of %d bytes", n.largest)
		}
	}
}

// Guards against a note of a leaving upstream that takes more than 3 s to reach a live daemon of the data centre.
func TestLeavingUpstreamIsKnownInTime(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		n := newNetwork(t, seed, 50, 4, 0.2)
		n.run(40 * time.Second)
		from := n.daemons[int(seed)]
		sends, dropped := from.SetUpstreams(n.now, []string{"host-17"}, nil, nil)
		if len(dropped) > 0 {
			t.Fatal("one host did not fit into the note")
		}
		n.send(from, sends)
		n.run(3 * time.Second)
		for _, d := range n.daemons {
			if d.Self.Centre == from.Self.Centre && !knowsLeaving(n, d, "host-17") {
				t.Fatalf("seed %d: %s does not list host-17 as leaving after 3 s", seed, d.Self.Name)
			}
		}
	}
}

// Guards against a planned host that arrives as one that announces that it leaves, and against a peer's note that names
// more planned hosts than it has.
func TestPlannedHostsAreKnown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 9, 2, 1, 0)
	n.run(15 * time.Second)
	from, to := n.daemons[0], n.daemons[1]
	received := func() member.Member {
		for _, m := range to.List(n.now) {
			if m.Name == from.Self.Name {
				return m
			}
		}
		return member.Member{}
	}
	for _, planned := range [][]string{{"h2", "h3"}, {"h3"}, nil} {
		leaving := []string{"h1", "h2", "h3"}[:3-len(planned)]
		sends, dropped := from.SetUpstreams(n.now, leaving, planned, nil)
		is.Equal(len(dropped), 0)
		is.True(len(sends) > 0) // also if only the reason changed
		n.send(from, sends)
		n.run(10 * time.Millisecond)
		is.Equal(received().Leaving, []string{"h1", "h2", "h3"})
		is.Equal(len(received().Planned), len(planned))
		for i, host := range planned {
			is.Equal(received().Planned[i], host)
		}
	}
	is.Equal((&member.Note{Leaving: []string{"h1"}, Planned: 3}).PlannedHosts(), []string{"h1"})
}

// Guards against a note that does not fit into a digest, or that lists planned hosts, which all daemons read from their
// rows, in place of hosts that announced that they leave.
func TestNoteOfManyHostsFits(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 9, 2, 1, 0)
	n.run(15 * time.Second)
	var leaving, planned, suspect []string
	for i := range 300 {
		leaving, planned = append(leaving, fmt.Sprint("l", i)), append(planned, fmt.Sprint("p", i))
		suspect = append(suspect, fmt.Sprint("s", i))
	}
	from, to := n.daemons[0], n.daemons[1]
	for _, count := range []int{10, 40, 300} {
		sends, dropped := from.SetUpstreams(n.now, leaving[:count], planned, suspect)
		n.send(from, sends)
		n.run(10 * time.Millisecond)
		for _, m := range to.List(n.now) {
			if m.Name == from.Self.Name {
				is.Equal(len(m.Leaving)+len(m.Suspect)+len(dropped), count+600)
				is.Equal(m.Leaving[:min(count, 40)], leaving[:min(count, 40)])
			}
		}
	}
	is.True(n.largest <= member.MaxDigest)
}

func knowsLeaving(n *network, d *daemon, host string) bool {
	for _, m := range d.List(n.now) {
		for _, h := range m.Leaving {
			if h == host {
				return true
			}
		}
	}
	return false
}

// Guards against data centres that stay disconnected after a partition between them ends.
func TestRejoinAfterPartition(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3, 9, 3, 0)
	n.run(15 * time.Second)
	n.cut = func(a, b *daemon) bool {
		return (a.Self.Centre == "centre-0") != (b.Self.Centre == "centre-0")
	}
	n.run(time.Minute)
	is.Equal(n.count(n.daemons[0], member.Gone), 6)
	is.Equal(n.count(n.daemons[1], member.Gone), 3)
	n.send(n.daemons[0], n.daemons[0].SetGeneration(n.now, 12))
	n.cut = nil
	n.run(15 * time.Second)
	for _, d := range n.daemons {
		is.Equal(n.count(d, member.Healthy), 8)
		is.Equal(d.Top(), uint64(12))
	}
}

// Guards against a daemon, or the successor of a daemon that left, that becomes unknown when all daemons are replaced
// one by one under the same names.
func TestReplaceAll(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 5, 9, 3, 0.2)
	n.run(15 * time.Second)
	old := n.daemons
	for i, d := range old {
		next := n.daemons[(i+1)%len(old)]
		if i == len(old)-1 {
			next = n.daemons[len(n.daemons)-1]
		}
		n.send(d, d.SetState(n.now, member.Left, next.Self.Name, next.Self.Start))
		n.run(time.Second)
		d.up = false
		n.add(d.Self.Name, d.Self.Centre, 2000+uint64(i))
		n.run(8 * time.Second)
	}
	n.run(10 * time.Second)
	for _, d := range n.daemons[len(old):] {
		is.Equal(n.count(d, member.Healthy), 8)
	}
	for _, d := range n.daemons[len(old):] {
		r, _, ok := d.Find("entry-007", 1007)
		is.True(ok) // tickets of the run that left still need its record
		is.Equal(r.State, member.Left)
		is.Equal(r.Successor, "entry-008")
		_, alive, ok := d.FindRun("entry-003", 9_999)
		// Newer than the known run, so assumed to be alive, except by the daemon of that name itself.
		is.Equal(ok && alive, d.Self.Name != "entry-003")
		_, _, ok = d.FindRun("entry-003", 3)
		is.True(!ok) // an older run that did not leave
	}
}

// Guards against a daemon that stays out of use after others marked it as gone, or after its clock was set back before
// a restart.
func TestRaisesIncarnation(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 6, 9, 3, 0)
	n.run(15 * time.Second)
	isolated := n.daemons[2]
	n.cut = func(a, b *daemon) bool { return a == isolated || b == isolated }
	n.run(10 * time.Second)
	n.cut = nil
	n.run(10 * time.Second)
	r, _, ok := n.daemons[0].Find(isolated.Self.Name, isolated.Self.Start)
	is.True(ok)
	is.True(r.Incarnation > r.Start)
	is.Equal(n.count(n.daemons[0], member.Healthy), 8)
	n.daemons[5].up = false
	earlier := n.add("entry-005", "centre-2", 17)
	n.run(20 * time.Second)
	is.Equal(n.sees(n.daemons[0], earlier), member.Healthy)
}

// Guards against a panic and oversized digests caused by malformed bytes from the network.
func FuzzReceive(f *testing.F) {
	n := newNetwork(f, 1, 3, 1, 0)
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x08, 0x43, 1, 2, 3})
	for _, d := range n.daemons {
		for i := range 20 {
			for _, s := range d.Tick(start.Add(time.Duration(i) * time.Second)) {
				f.Add(s.Data)
				f.Add(s.Data[:len(s.Data)/2])
			}
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newNetwork(t, 2, 1, 1, 0).daemons[0]
		if _, err := d.Receive(start, "entry-9", data); err != nil && !errors.Is(err, member.ErrDigest) {
			t.Fatalf("error is not ErrDigest: %v", err)
		}
		for _, s := range d.Tick(start.Add(time.Second)) {
			if len(s.Data) > member.MaxDigest {
				t.Fatal(fmt.Sprint("digest of ", len(s.Data), " bytes"))
			}
		}
	})
}
