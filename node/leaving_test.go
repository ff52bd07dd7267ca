package node_test

import (
	"context"
	"fmt"
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

// leavingHost is the host that leaves in these tests, unless it depends on which daemon checks it.
const leavingHost = "c1-h1"

// centreDaemons are the daemons of c1.
var centreDaemons = []string{"c1-e1", "c1-e2"}

// checkLeaving runs load on both daemons of c1 and calls announce, which makes the host leave and returns the time at
// which the first of the daemons learned of it. It checks that the host gets no new work after the bound while all
// requests are served.
func checkLeaving(t *testing.T, s *local.System, leaving string, announce func() time.Time) {
	t.Helper()
	is := is.New(t)
	host := s.Instances[leaving]
	l := startLoad(t, s, 4, centreDaemons...)
	is.NoErr(s.Await(func() bool { return host.Total() > 20 }))
	at := announce()
	total := l.done.Load()
	is.NoErr(s.Await(func() bool { return s.Timer.Now().Sub(at) > leaveBound+time.Second }))
	for _, name := range centreDaemons {
		n := s.Daemons[name].Node
		t.Logf("%s holds the lease: %t, checks %s: %t", name, n.Holding(), leaving, n.ChecksHost(leaving))
	}
	t.Logf("last run began %s after the announcement", host.LastStart().Sub(at))
	is.True(host.LastStart().Sub(at) < leaveBound)
	is.True(l.done.Load() > total)
	l.end()
	l.checkAllDone(t)
}

// hostChecked waits until a daemon of c1 holds the lease and returns a host of the pool that this daemon checks, or one
// that the other daemon checks.
func hostChecked(t *testing.T, s *local.System, byHolder bool) string {
	t.Helper()
	found := ""
	is.New(t).NoErr(s.Await(func() bool {
		for i := range 7 {
			host := fmt.Sprintf("c1-h%d", i+1)
			e1, e2 := s.Daemons[centreDaemons[0]].Node, s.Daemons[centreDaemons[1]].Node
			if e1.Holding() != e2.Holding() && e1.ChecksHost(host) != e2.ChecksHost(host) &&
				(e1.Holding() == e1.ChecksHost(host)) == byHolder {
				found = host
				return true
			}
		}
		return false
	}))
	return found
}

// checkLeavingByHolder runs checkLeaving for a host that the holder of the lease checks and for one that the other
// daemon checks. Only the holder reads the platform's list and the operators' orders; the other daemon learns of them
// from the holder, and its own checks of the host must not override that.
func checkLeavingByHolder(t *testing.T, announce func(s *local.System, host string) time.Time) {
	for name, byHolder := range map[string]bool{"checked by the holder": true, "checked by the other": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t)
			host := hostChecked(t, s, byHolder)
			checkLeaving(t, s, host, func() time.Time { return announce(s, host) })
		})
	}
}

// Guards against new work for an upstream whose answers announce that it leaves.
func TestLeavingByHeader(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	checkLeaving(t, s, leavingHost, func() time.Time {
		s.Instances[leavingHost].SetFaults(instance.Faults{Leaving: true})
		return s.Timer.Now()
	})
}

// Guards against a host that the platform's list shows as leaving and that still gets work, because only the lease
// holder or no daemon applies the list, or because the daemon that checks the host takes a passed check for news that
// the host does not leave.
func TestLeavingByList(t *testing.T) {
	t.Parallel()
	checkLeavingByHolder(t, func(s *local.System, host string) time.Time {
		is := is.New(t)
		is.NoErr(s.Platform.Act(context.Background(), "drain-1", host, table.ActionDrain))
		var at time.Time
		is.NoErr(s.Await(func() bool {
			for _, d := range s.Daemons {
				if d.Centre == "c1" && at.IsZero() {
					at = d.Link.Shown(host, table.StateLeaving)
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
	checkLeavingByHolder(t, func(s *local.System, host string) time.Time {
		awaitActiveHosts(t, s)
		is.New(t).NoErr(s.Daemons["c1-e2"].Operators().ChangeHost(context.Background(), host, "drain"))
		return s.Timer.Now()
	})
}

// Guards against new work from a daemon that can't read the row of a drained host while it checks the host: the news from
// the holder of the lease has to count, although the checks pass.
func TestLeavingByOperatorBehindAnOutage(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	host := hostChecked(t, s, false)
	checkLeaving(t, s, host, func() time.Time {
		awaitActiveHosts(t, s)
		is.New(t).NoErr(s.Daemons["c1-e2"].Operators().ChangeHost(context.Background(), host, "drain"))
		at := s.Timer.Now()
		for _, name := range centreDaemons {
			if d := s.Daemons[name]; !d.Node.Holding() {
				d.Link.SetDisconnected(true)
			}
		}
		return at
	})
}

// Guards against daemons that learn only from the platform that a host leaves. One daemon checks the upstream; the
// others must learn it from that daemon.
func TestLeavingByPeer(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	checkLeaving(t, s, leavingHost, func() time.Time {
		s.Platform.SetFaults(table.Faults{Down: true})
		s.Instances[leavingHost].SetFaults(instance.Faults{LeavingOnHealth: true})
		return s.Timer.Now()
	})
}
