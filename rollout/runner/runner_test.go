package runner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/rollout/runner"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
)

// mesh delivers messages between runners of one process.
type mesh map[string]*runner.Runner

func (m mesh) Tell(daemon string, message []byte) {
	go func() { _ = m[daemon].HandleAnnouncement(message) }()
}

func (m mesh) Ask(_ context.Context, daemon string, message []byte) ([]byte, error) {
	return m[daemon].HandleRequest(message)
}

// Guards against a runner that drops an action of its node, installs out of order, leaks goroutines when it ends, or
// stops at a damaged message.
func TestRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := timer.NewVirtual(time.Unix(1e6, 0))
		s := &table.Service{Timer: v}
		m := make(mesh)
		installed := make(map[string]*[]uint64)
		for i, name := range []string{"a", "b", "c"} {
			n := &rollout.Node{Name: name, Incarnation: 1, Centre: "0", Rand: rand.New(rand.NewPCG(uint64(i), 1))}
			n.SetPeers([]rollout.Peer{{Name: "a", Centre: "0"}, {Name: "b", Centre: "0"}, {Name: "c", Centre: "0"}})
			count, gens := 0, new([]uint64)
			installed[name] = gens
			m[name] = &runner.Runner{
				Node: n, Timer: v, Table: s, Objects: s, Exchange: m,
				OnInstall: func(_ *rollout.Node, in rollout.Install) { *gens = append(*gens, in.Head.Gen) },
				NewID:     func() string { count++; return fmt.Sprint(name, count) },
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, len(m))
		for _, r := range m {
			go func() { done <- r.Run(ctx) }()
		}
		advance := func(d time.Duration) {
			for range d / rollout.TickEvery {
				synctest.Wait()
				v.Advance(rollout.TickEvery)
			}
			synctest.Wait()
		}
		advance(time.Second)
		f := fleet.Generate(rand.New(rand.NewPCG(1, 1)), fleet.Size{Hosts: 20, Pools: 1, Teams: 1, Centres: 1, Regions: 1, Rack: 4})
		for gen := range uint64(3) {
			f.Hosts[0].Cores++
			res, err := m["a"].Apply(ctx, rollout.Apply{Fleet: f, Base: gen})
			is.NoErr(err)
			is.Equal(res.Head.Gen, gen+1)
			advance(bound)
		}
		s.SetFaults(table.Faults{Down: true})
		_, err := m["b"].Apply(ctx, rollout.Apply{Fleet: f, Base: 3})
		is.True(err != nil)
		is.True(errors.Is(m["b"].HandleAnnouncement([]byte("x")), rollout.ErrMessage))
		_, err = m["b"].HandleRequest([]byte("x"))
		is.True(errors.Is(err, rollout.ErrMessage))
		cancel()
		for range m {
			is.NoErr(<-done)
		}
		for name, r := range m {
			is.Equal(*installed[name], []uint64{1, 2, 3})
			r.View(func(n *rollout.Node) { is.Equal(fleet.Root(n.Index().Fleet()), fleet.Root(f)) })
		}
	})
}
