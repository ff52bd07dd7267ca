package entry

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/maintenance"
	"cuminstair.org/cuminstair/ownership"
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

// silentHosts is a platform that does not answer orders. It carries them out at any time, or never.
type silentHosts struct {
	cuminstair.HostControl
	list    []cuminstair.HostRecord
	ordered []string
}

// List implements cuminstair.HostControl.
func (s *silentHosts) List(context.Context) ([]cuminstair.HostRecord, error) { return s.list, nil }

// Maintain implements cuminstair.HostControl.
func (s *silentHosts) Maintain(_ context.Context, _ string, _ int64, host string, _ int) error {
	s.ordered = append(s.ordered, host)
	return cuminstair.ErrUncertain
}

func upHosts(names ...string) []cuminstair.HostRecord {
	var list []cuminstair.HostRecord
	for _, name := range names {
		list = append(list, cuminstair.HostRecord{Name: name, Phase: cuminstair.PhaseUp})
	}
	return list
}

// stillTimer is a timer service whose time stands still and whose timers do not expire.
type stillTimer struct{ fixedTimer }

// After implements cuminstair.Timer.
func (stillTimer) After(time.Duration, func(time.Time)) func() bool {
	return func() bool { return true }
}

const waveLimit = 2

// stepController steps a new controller of hosts, which took over from another one some time ago, through the wave of all hosts.
func stepController(t *testing.T, store cuminstair.RecordStore, hosts *silentHosts, token uint64) {
	now := time.Unix(1000, 0)
	w := cuminstair.MaintenanceWave{Number: 1, Limit: waveLimit}
	for _, rec := range hosts.list {
		w.Hosts = append(w.Hosts, rec.Name)
	}
	d := &Daemon{
		Timer: stillTimer{fixedTimer{now: now}}, Hosts: hosts, Store: store, Log: hclog.NewNullLogger(),
		Settings: &platform.Settings{}, waves: map[string]cuminstair.MaintenanceWave{"1": w},
	}
	d.view = ownership.NewView("d1", "run1")
	d.readAt.Store(&now)
	h := &hostController{d: d}
	h.step(t.Context(), &runner{token: token, hadOwner: true, takenAt: now.Add(-time.Minute)})
}

// Guards against more hosts down than the wave allows: the orders of an earlier controller had no answer and are carried out
// after its successor has taken other hosts down.
func TestUnansweredOrdersOfAnEarlierControllerCount(t *testing.T) {
	is := is.New(t)
	store := newRecordStore()
	hosts := &silentHosts{list: upHosts("a", "b", "c", "d")}
	stepController(t, store, hosts, controllerToken)
	is.Equal(hosts.ordered, []string{"a", "b"})

	store.setOwner(controllerToken + 1)
	hosts.list[0].Worker, hosts.list[1].Worker = "w1", "w2" // the successor can't drain a and b yet
	hosts.ordered = nil
	stepController(t, store, hosts, controllerToken+1)
	is.Equal(len(hosts.ordered), 0)

	hosts.list[0].Worker, hosts.list[1].Worker = "", ""
	stepController(t, store, hosts, controllerToken+1)
	slices.Sort(hosts.ordered)
	is.Equal(hosts.ordered, []string{"a", "b"})
}

// Guards against an order that the next controller does not know of, since the record of the wave could not be written.
func TestOrderIsNotSentBeforeItIsRecorded(t *testing.T) {
	is := is.New(t)
	store := newRecordStore()
	store.setOwner(controllerToken + 1)
	hosts := &silentHosts{list: upHosts("a")}
	stepController(t, store, hosts, controllerToken)
	is.Equal(len(hosts.ordered), 0)
}
