package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/standin/local"
	"cuminstair.org/cuminstair/standin/table"
)

// leaveBound is the bound of invariant 6 of docs/design.md: the time after which a host gets no new work, from the
// moment at which the first daemon of the data centre learns that the host leaves.
const leaveBound = 3 * time.Second

// leavingHost is the host that leaves in these tests.
const leavingHost = "c1-h1"

// checkLeaving runs load on both daemons of c1 and calls announce, which makes the host leave and returns the time at
// which the first of the daemons learned of it. It checks that the host gets no new work after the bound while all
// requests are served.
func checkLeaving(t *testing.T, announce func(s *local.System) time.Time) {
	is := is.New(t)
	s := startSystem(t)
	host := s.Instances[leavingHost]
	l := startLoad(t, s, 4, "c1-e1", "c1-e2")
	is.NoErr(s.Await(func() bool { return host.Total() > 20 }))
	at := announce(s)
	total := l.done.Load()
	is.NoErr(s.Await(func() bool { return s.Timer.Now().Sub(at) > leaveBound+time.Second }))
	t.Logf("last run began %s after the announcement", host.LastStart().Sub(at))
	is.True(host.LastStart().Sub(at) < leaveBound)
	is.True(l.done.Load() > total)
	l.end()
	l.checkAllDone(t)
}

// Guards against new work for an upstream whose answers announce that it leaves.
func TestLeavingByHeader(t *testing.T) {
	t.Parallel()
	checkLeaving(t, func(s *local.System) time.Time {
		s.Instances[leavingHost].SetFaults(instance.Faults{Leaving: true})
		return s.Timer.Now()
	})
}

// Guards against a host that the platform's list shows as leaving and that still gets work, because only the lease
// holder or no daemon applies the list.
func TestLeavingByList(t *testing.T) {
	t.Parallel()
	checkLeaving(t, func(s *local.System) time.Time {
		is := is.New(t)
		is.NoErr(s.Platform.Act(context.Background(), "drain-1", leavingHost, table.ActionDrain))
		var at time.Time
		is.NoErr(s.Await(func() bool {
			for _, d := range s.Daemons {
				if d.Centre == "c1" && at.IsZero() {
					at = d.Link.Shown(leavingHost, table.StateLeaving)
				}
			}
			return !at.IsZero()
		}))
		return at
	})
}

// Guards against an operator's drain that other daemons apply too late.
func TestLeavingByOperator(t *testing.T) {
	t.Parallel()
	checkLeaving(t, func(s *local.System) time.Time {
		awaitActiveHosts(t, s)
		is.New(t).NoErr(s.Daemons["c1-e2"].Operators().ChangeHost(context.Background(), leavingHost, "drain"))
		return s.Timer.Now()
	})
}

// Guards against daemons that learn only from the platform that a host leaves. One daemon checks the upstream; the
// others must learn it from that daemon.
func TestLeavingByPeer(t *testing.T) {
	t.Parallel()
	checkLeaving(t, func(s *local.System) time.Time {
		s.Platform.SetFaults(table.Faults{Down: true})
		s.Instances[leavingHost].SetFaults(instance.Faults{LeavingOnHealth: true})
		return s.Timer.Now()
	})
}
