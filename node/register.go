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
)

// registerInterval is the time between two tries to register, and between two readings of the registrations.
const registerInterval = 5 * time.Second

// entryPrefix is the key prefix of registrations.
const entryPrefix = "entry/"

// registration is the value of the row of an entry daemon. The row is deleted at a planned stop; the platform's list
// tells of daemons that ended otherwise.
type registration struct {
	Centre string `json:"centre"`
	Addr   string `json:"addr,omitempty"` // for peers
	Start  uint64 `json:"start"`          // names the run
}

// register writes the row of this daemon, reads those of the others to find peers, and deletes it at the stop.
func (n *Node) register(ctx context.Context) error {
	due := make(chan struct{}, 1)
	due <- struct{}{}
	stop := n.Timer.Every(registerInterval, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer stop()
	log := n.Log.Named("register")
	for {
		select {
		case <-ctx.Done():
			return n.deregister(context.WithoutCancel(ctx))
		case <-due:
			if err := n.refreshEntries(ctx); err != nil {
				log.Debug("registration put off", "error", err)
			}
		}
	}
}

// entries is what this daemon has read of the registrations. It reads only what changed: at 280 daemons the whole list
// has 35 KB. It is safe for concurrent use.
type entries struct {
	mu    sync.Mutex
	since uint64
	addrs map[string]string // daemon, address for peers
	own   bool              // the row of this run is there
}

// refreshEntries writes the own row unless it is there, and seeds the membership with all rows.
func (n *Node) refreshEntries(ctx context.Context) error {
	n.entries.mu.Lock()
	defer n.entries.mu.Unlock()
	rows, version, err := n.Platform.Rows(ctx, entryPrefix, n.entries.since)
	if err != nil {
		return fmt.Errorf("read registrations: %w", err)
	}
	for i := range rows {
		if err := n.takeEntry(&rows[i]); err != nil {
			return err
		}
	}
	n.entries.since = version
	seeds := n.settingsSeeds()
	for name, addr := range n.entries.addrs {
		seeds = append(seeds, member.Seed{Name: name, Addr: addr})
	}
	slices.SortFunc(seeds, func(a, b member.Seed) int { return strings.Compare(a.Name, b.Name) })
	n.network.seed(seeds)
	if n.entries.own {
		return nil
	}
	return n.writeEntry(ctx)
}

// takeEntry adopts one row.
func (n *Node) takeEntry(row *cuminstair.Row) error {
	if n.entries.addrs == nil {
		n.entries.addrs = map[string]string{}
	}
	name := strings.TrimPrefix(row.Key, entryPrefix)
	if row.Deleted {
		delete(n.entries.addrs, name)
		n.entries.own = n.entries.own && name != n.Settings.Name
		return nil
	}
	var r registration
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("decode registration %s: %w", row.Key, err)
	}
	if name == n.Settings.Name {
		n.entries.own = r.Start == n.start
		return nil
	}
	if r.Addr != "" {
		n.entries.addrs[name] = r.Addr
	}
	return nil
}

func (n *Node) writeEntry(ctx context.Context) error {
	value, err := json.Marshal(registration{Centre: n.Settings.Centre, Addr: n.network.addr(), Start: n.start})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	commit := cuminstair.Commit{ID: n.newCommit(), Puts: []cuminstair.Put{{Key: entryPrefix + n.Settings.Name, Value: value}}}
	if _, err := n.Platform.Commit(ctx, commit); err != nil {
		return fmt.Errorf("write registration: %w", err)
	}
	return nil
}

// deregister deletes the own row, unless a later run of this daemon replaced it. The row that stays when the platform is
// away freezes planned work until the platform's list shows the host as gone.
func (n *Node) deregister(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.Timer.After(registerInterval, func(time.Time) { cancel() })()
	key := entryPrefix + n.Settings.Name
	rows, _, err := n.Platform.Rows(ctx, key, 0)
	if err != nil {
		n.Log.Named("register").Warn("registration stays", "error", err)
		return nil
	}
	for i := range rows {
		var r registration
		if rows[i].Key != key || json.Unmarshal(rows[i].Value, &r) != nil || r.Start != n.start {
			continue
		}
		commit := cuminstair.Commit{
			ID:      n.newCommit(),
			Checks:  []cuminstair.Check{{Key: key, Version: rows[i].Version}},
			Deletes: []string{key},
		}
		if _, err := n.Platform.Commit(ctx, commit); err != nil && !errors.Is(err, cuminstair.ErrConflict) {
			n.Log.Named("register").Warn("registration stays", "error", err)
		}
	}
	return nil
}
