package node

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/timer"
)

// Guards against a lent host that still serves the pool it was lent to after its return to its own pool.
func TestLentHostGoesBack(t *testing.T) {
	is := is.New(t)
	n := &Node{
		Settings: &settings.Settings{Name: "e1", Centre: "c1"},
		Log:      hclog.NewNullLogger(),
		Timer:    timer.NewVirtual(time.Unix(1000, 0)),
		Rand:     rand.New(rand.NewPCG(1, 1)),
	}
	is.NoErr(n.Build())
	pool := func() string {
		events, _ := n.daemon.Events.Wait()
		return events[daemon.Key{Kind: daemon.EventFleet}].Fleet.Hosts[0].Pool
	}
	n.view.setFleet(&cuminstair.Fleet{Hosts: []cuminstair.Host{{Name: "h1", Centre: "c1", Pool: "spare"}}})
	is.Equal(pool(), "spare")
	n.view.setPool("h1", "kitchen")
	is.Equal(pool(), "kitchen")
	n.view.setPool("h1", "spare")
	n.daemon.Events.Close()
	is.Equal(pool(), "spare")
}

// Guards against a deadlock between a pool change of a host and publishLocal, which both lock the view and the
// decisions.
func TestPoolChangesWhileNewsAreTold(t *testing.T) {
	n := &Node{
		Settings: &settings.Settings{Name: "e1", Centre: "c1"},
		Log:      hclog.NewNullLogger(),
		Timer:    timer.NewVirtual(time.Unix(1000, 0)),
		Rand:     rand.New(rand.NewPCG(1, 1)),
	}
	is.New(t).NoErr(n.Build())
	n.view.setFleet(&cuminstair.Fleet{Hosts: []cuminstair.Host{{Name: "h1", Centre: "c1", Pool: "spare"}}})
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 5000 {
			n.publishLocal()
		}
	})
	wg.Go(func() {
		for i := range 5000 {
			n.view.setPool("h1", []string{"kitchen", "spare"}[i%2])
		}
	})
	wg.Wait()
}
