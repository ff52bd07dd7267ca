package daemon

import (
	"context"
	"time"

	"cuminstair.org/cuminstair"
)

// tickInterval is the time between checks of queued requests for expired deadlines. It is a hundredth of a typical
// deadline.
const tickInterval = 10 * time.Millisecond

// Kind says what an Event reports, such as the state of a host.
type Kind string

// Kinds of events. Key.Name is empty for EventFleet and EventLive.
const (
	EventFleet Kind = "fleet" // Event.Fleet is the configuration in force
	EventLive  Kind = "live"  // Event.Live is the number of daemons that share the quotas
	EventHost  Kind = "host"  // Event.State is the state in the row of host Key.Name
	EventLoads Kind = "loads" // Event.Loads are the loads of peer Key.Name; an empty list removes them
	EventState Kind = "state" // peer Event.Peer reports host Key.Name to be in Event.State
)

// Key identifies the subject of an event; an eventbox.Box keeps the latest event of each key.
type Key struct {
	Kind Kind
	Name string
}

// Event is an update for the request path. Its kind determines which fields are set.
type Event struct {
	Fleet *cuminstair.Fleet
	Live  int
	State cuminstair.HostState
	Peer  string
	Loads []cuminstair.Load
}

// runEvents applies events to the decisions until ctx ends.
func (d *Daemon) runEvents(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.Events.Close)
	defer stop()
	for {
		events, ok := d.Events.Wait()
		if !ok {
			return nil
		}
		d.apply(events)
	}
}

// apply installs a fleet before it applies the other events, which may be about hosts of that fleet.
func (d *Daemon) apply(events map[Key]Event) {
	live := d.live(events)
	if e, ok := events[Key{Kind: EventFleet}]; ok {
		d.mu.Lock()
		d.fleet = e.Fleet
		d.mu.Unlock()
		d.decisions.SetFleet(e.Fleet, live)
		d.warnLongDeadlines(e.Fleet)
		d.Log.Info("fleet installed", "name", e.Fleet.Name, "hosts", len(e.Fleet.Hosts), "services", len(e.Fleet.Services))
	}
	for key, e := range events {
		switch key.Kind {
		case EventLive:
			if f := d.installedFleet(); f != nil {
				d.decisions.SetLive(f.Teams, live)
			}
		case EventHost:
			d.decisions.SetHostState(key.Name, e.State)
		case EventLoads:
			d.decisions.SetRemote(key.Name, e.Loads)
		case EventState:
			d.decisions.Report(e.Peer, key.Name, e.State)
		default:
		}
	}
}

// live returns the number of daemons that share the quotas, from these events or, if they have none, from earlier ones.
// It is at least 1.
func (d *Daemon) live(events map[Key]Event) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := events[Key{Kind: EventLive}]; ok {
		d.daemons = e.Live
	}
	return max(d.daemons, 1)
}

func (d *Daemon) installedFleet() *cuminstair.Fleet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet
}

// warnLongDeadlines logs the kinds of requests whose deadline is longer than a planned stop waits for them.
func (d *Daemon) warnLongDeadlines(f *cuminstair.Fleet) {
	available := d.Settings.Stop.D() - d.Settings.Wait.D()
	for _, s := range f.Services {
		for _, k := range s.Kinds {
			if k.Deadline.D() > available {
				d.Log.Warn("deadline is longer than a planned stop waits for requests", "service", s.Name, "kind", k.Name, "deadline", k.Deadline, "room", available)
			}
		}
	}
}

// runTicks calls Tick of the decisions until ctx ends.
func (d *Daemon) runTicks(ctx context.Context) error {
	stop := d.Timer.Every(tickInterval, d.decisions.Tick)
	<-ctx.Done()
	stop()
	return nil
}
