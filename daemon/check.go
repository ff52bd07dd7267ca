package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// Active checks of upstreams.
const (
	// checkInterval bounds how old the knowledge about an idle upstream is; three failed checks take 3 s, which is the
	// bound of invariant 6.
	checkInterval = time.Second
	// checkRate is how many checks a daemon makes in one interval at most. A check costs about 700 bytes with its packet
	// headers, and a daemon has 3 KB/s for control. With more hosts than that, each one is checked every few intervals.
	checkRate = 4
	// checkLimit is how many checks run at once, so that a dead data centre doesn't use up file descriptors.
	checkLimit = 64
)

// runChecks checks the hosts that this daemon owns until ctx ends. Without Health nobody asks for the results.
func (d *Daemon) runChecks(ctx context.Context) error {
	if d.Health == nil {
		<-ctx.Done()
		return nil
	}
	due := make(chan struct{}, 1)
	stop := d.Timer.Every(checkInterval, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer stop()
	var turn turn
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-due:
			d.checkSome(ctx, turn.take(d.owned()))
		}
	}
}

// candidate is a host that this daemon checks.
type candidate struct {
	upstream cuminstair.Upstream
	active   bool
}

// owned returns the hosts that this daemon checks, sorted by name.
func (d *Daemon) owned() []candidate {
	var list []candidate
	for _, u := range d.decisions.Upstreams() {
		if d.Owns == nil || d.Owns(u.Host) {
			list = append(list, candidate{upstream: u, active: d.decisions.State(u.Host) == cuminstair.HostActive})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return strings.Compare(a.upstream.Host, b.upstream.Host) })
	return list
}

// turn goes round the hosts, so that each one is checked in its turn.
type turn struct {
	last string // the host that was taken last
}

// take returns at most checkRate hosts: up to half of them hosts that are not active, so that they come back soon, and then the
// next ones in turn.
func (t *turn) take(list []candidate) []cuminstair.Upstream {
	n := min(checkRate, len(list))
	taken := make(map[string]bool, n)
	out := make([]cuminstair.Upstream, 0, n)
	for i := range list {
		if c := &list[i]; !c.active && len(out) < n/2 {
			taken[c.upstream.Host] = true
			out = append(out, c.upstream)
		}
	}
	start, _ := slices.BinarySearchFunc(list, t.last, func(c candidate, host string) int {
		// The host that was taken last counts as smaller, so that the search finds the one after it.
		if c.upstream.Host <= host {
			return -1
		}
		return 1
	})
	for i := 0; i < len(list) && len(out) < n; i++ {
		u := list[(start+i)%len(list)].upstream
		t.last = u.Host
		if !taken[u.Host] {
			taken[u.Host] = true
			out = append(out, u)
		}
	}
	return out
}

// checkSome checks each host once.
func (d *Daemon) checkSome(ctx context.Context, list []cuminstair.Upstream) {
	var wg sync.WaitGroup
	defer wg.Wait()
	places := make(chan struct{}, checkLimit)
	for _, u := range list {
		places <- struct{}{}
		wg.Add(1)
		go func(u cuminstair.Upstream) {
			defer wg.Done()
			ok, leaving := d.checker.Check(ctx, &u)
			if ctx.Err() == nil {
				d.decisions.Probe(u.Host, ok, leaving)
			}
			<-places
		}(u)
	}
}
