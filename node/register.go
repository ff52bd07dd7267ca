package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/member"
	"cuminstair.org/cuminstair/timer"
)

// registerInterval is the time between reads of the registrations and between attempts to register. It also bounds
// deregister.
const registerInterval = 5 * time.Second

// registrationPrefix is the key prefix of the rows of entry daemons.
const registrationPrefix = "entry/"

// registration is the value of the row of an entry daemon. The row is deleted at a planned stop; a daemon that ended
// otherwise is recognized by the platform's list.
type registration struct {
	Centre string `json:"centre"`
	Addr   string `json:"addr,omitempty"` // address for peers
	Start  uint64 `json:"start"`          // start time in Unix nanoseconds, which identifies the run
}

// register writes the row of this daemon, reads those of the others to find peers, and deletes its row at the stop.
func (n *Node) register(ctx context.Context) error {
	due, stop := timer.Ticks(n.Timer, registerInterval)
	defer stop()
	log := n.Log.Named("register")
	for {
		if err := n.refreshRegistrations(ctx); err != nil {
			log.Debug("registration failed, will retry", "error", err)
		}
		select {
		case <-ctx.Done():
			return n.deregister(context.WithoutCancel(ctx))
		case <-due:
		}
	}
}

// registrations caches the registrations of the daemons. Only changed rows are read: with 280 daemons the whole list has
// 35 KB. It is safe for concurrent use.
type registrations struct {
	mu         sync.Mutex
	since      uint64
	addrs      map[string]string // daemon -> address for peers
	registered bool              // whether the row of this run exists
}

// refreshRegistrations seeds the membership with the registered daemons and the peers in the settings, and writes the row
// of this run unless it exists.
func (n *Node) refreshRegistrations(ctx context.Context) error {
	n.registrations.mu.Lock()
	defer n.registrations.mu.Unlock()
	rows, version, err := n.Platform.Rows(ctx, registrationPrefix, n.registrations.since)
	if err != nil {
		return fmt.Errorf("read registrations: %w", err)
	}
	for i := range rows {
		if err := n.applyRegistration(&rows[i]); err != nil {
			return err
		}
	}
	n.registrations.since = version
	seeds := n.settingsSeeds()
	for name, addr := range n.registrations.addrs {
		seeds = append(seeds, member.Seed{Name: name, Addr: addr})
	}
	slices.SortFunc(seeds, func(a, b member.Seed) int { return strings.Compare(a.Name, b.Name) })
	n.network.setSeeds(seeds)
	if n.registrations.registered {
		return nil
	}
	return n.writeRegistration(ctx)
}

// applyRegistration updates the cache from one row. If the row of this daemon was deleted or is from an earlier run, the
// cache shows this run as not registered.
func (n *Node) applyRegistration(row *cuminstair.Row) error {
	if n.registrations.addrs == nil {
		n.registrations.addrs = map[string]string{}
	}
	name := strings.TrimPrefix(row.Key, registrationPrefix)
	if row.Deleted {
		delete(n.registrations.addrs, name)
		n.registrations.registered = n.registrations.registered && name != n.Settings.Name
		return nil
	}
	var r registration
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("decode registration %s: %w", row.Key, err)
	}
	if name == n.Settings.Name {
		n.registrations.registered = r.Start == n.start
		return nil
	}
	if r.Addr != "" {
		n.registrations.addrs[name] = r.Addr
	}
	return nil
}

func (n *Node) writeRegistration(ctx context.Context) error {
	value, err := json.Marshal(registration{Centre: n.Settings.Centre, Addr: n.network.addr(), Start: n.start})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	commit := cuminstair.Commit{ID: n.newCommitID(), Puts: []cuminstair.Put{{Key: registrationPrefix + n.Settings.Name, Value: value}}}
	if _, err := n.Platform.Commit(ctx, commit); err != nil {
		return fmt.Errorf("write registration: %w", err)
	}
	return nil
}

// deregister deletes the row of this daemon, unless a later run of this daemon replaced it. If the platform is
// unavailable, the row remains and blocks planned work until the platform's list shows the host as gone.
func (n *Node) deregister(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.Timer.After(registerInterval, func(time.Time) { cancel() })()
	key := registrationPrefix + n.Settings.Name
	rows, _, err := n.Platform.Rows(ctx, key, 0)
	if err != nil {
		n.Log.Named("register").Warn("registration not deleted", "error", err)
		return nil
	}
	for i := range rows {
		var r registration
		if rows[i].Key != key || json.Unmarshal(rows[i].Value, &r) != nil || r.Start != n.start {
			continue
		}
		commit := cuminstair.Commit{
			ID:      n.newCommitID(),
			Checks:  []cuminstair.Check{{Key: key, Version: rows[i].Version}},
			Deletes: []string{key},
		}
		if _, err := n.Platform.Commit(ctx, commit); err != nil && !errors.Is(err, cuminstair.ErrConflict) {
			n.Log.Named("register").Warn("registration not deleted", "error", err)
		}
	}
	return nil
}
