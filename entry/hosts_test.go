package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/maintenance"
	"cuminstair.org/cuminstair/platform"
	"cuminstair.org/cuminstair/pools"
)

// orderCounter counts the orders for hosts.
type orderCounter struct {
	cuminstair.HostControl
	mu     sync.Mutex
	orders int
}

func (c *orderCounter) count() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders++
	return nil
}

// Move implements cuminstair.HostControl.
func (c *orderCounter) Move(context.Context, string, int64, string, string) error { return c.count() }

// Maintain implements cuminstair.HostControl.
func (c *orderCounter) Maintain(context.Context, string, int64, string, int) error { return c.count() }

// Guards against a controller that was paused after it asked an owner to drain a worker, and then moves the host or takes
// it down although the owner gives the worker tasks again.
func TestPausedControllerGivesNoOrders(t *testing.T) {
	const drainTime = 2 * time.Second // after it the owner gives the worker tasks again
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		pause  time.Duration
		orders int
	}{{0, 2}, {drainTime, 0}, {5 * time.Second, 0}} {
		is := is.New(t)
		hosts := &orderCounter{}
		h := &hostController{
			d:     &Daemon{Timer: fixedTimer{now: now.Add(c.pause)}, Hosts: hosts, Log: hclog.NewNullLogger(), Settings: &platform.Settings{}},
			moved: map[string]hostMove{},
		}
		h.orderMoves(context.Background(), []pools.Move{{Host: "a", From: "s", To: "t"}}, now)
		w := maintenance.New(now, cuminstair.MaintenanceWave{Number: 1, Hosts: []string{"b"}, Limit: 1}, maintenance.Record{})
		h.orderMaintenance(context.Background(), w, "b", now)
		is.Equal(hosts.orders, c.orders)
	}
}
