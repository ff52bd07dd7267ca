package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
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

// refreshEntries writes the own row unless it is there, and seeds the membership with all rows.
func (n *Node) refreshEntries(ctx context.Context) error {
	rows, _, err := n.Platform.Rows(ctx, entryPrefix, 0)
	if err != nil {
		return fmt.Errorf("read registrations: %w", err)
	}
	own := false
	seeds := n.settingsSeeds()
	for i := range rows {
		var r registration
		if err := json.Unmarshal(rows[i].Value, &r); err != nil {
			return fmt.Errorf("decode registration %s: %w", rows[i].Key, err)
		}
		name := strings.TrimPrefix(rows[i].Key, entryPrefix)
		if name == n.Settings.Name {
			own = r.Start == n.start
			continue
		}
		if r.Addr != "" {
			seeds = append(seeds, member.Seed{Name: name, Addr: r.Addr})
		}
	}
	n.network.seed(seeds)
	if own {
		return nil
	}
	return n.writeEntry(ctx)
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
