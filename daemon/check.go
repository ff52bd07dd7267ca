package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/timer"
)

// Active checks of upstreams.
const (
	// checkInterval is the time between rounds of checks. For a host that is checked in every round, it bounds the age of
	// the last result, and three failed checks take 3 s, which is the bound of invariant 6 of docs/design.md.
	checkInterval = time.Second
	// checksPerInterval limits the checks that a daemon starts in one interval. A check costs about 700 bytes with its
	// packet headers, and a daemon has 3 KB/s for control traffic. With more hosts than that, each host is checked only
	// once every few intervals.
	checksPerInterval = 4
	// maxConcurrentChecks limits the checks that run at once, so that checks of a failed data centre don't exhaust the file
	// descriptors.
	maxConcurrentChecks = 64
)

// runChecks checks the hosts that ChecksHost selects until ctx ends. Without Health there are no checks, because
// nothing uses their results.
func (d *Daemon) runChecks(ctx context.Context) error {
	if d.Health == nil {
		<-ctx.Done()
		return nil
	}
	due, stop := timer.Ticks(d.Timer, checkInterval)
	defer stop()
	var rotation rotation
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-due:
			d.checkHosts(ctx, rotation.next(d.checkedHosts()))
		}
	}
}

// candidate is a host that this daemon checks.
type candidate struct {
	upstream cuminstair.Upstream
	active   bool
}

// checkedHosts returns the hosts that this daemon checks, sorted by name.
func (d *Daemon) checkedHosts() []candidate {
	var list []candidate
	for _, u := range d.decisions.Upstreams() {
		if d.ChecksHost == nil || d.ChecksHost(u.Host) {
			list = append(list, candidate{upstream: u, active: d.decisions.State(u.Host) == cuminstair.HostActive})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return strings.Compare(a.upstream.Host, b.upstream.Host) })
	return list
}

// rotation selects the hosts to check in round-robin order.
type rotation struct {
	last string // the host that was selected last
}

// next returns at most checksPerInterval hosts. Up to half of them are hosts that are not active, so that a recovered
// host soon gets work again; the remaining places are filled in round-robin order.
func (t *rotation) next(list []candidate) []cuminstair.Upstream {
	n := min(checksPerInterval, len(list))
	taken := make(map[string]bool, n)
	out := make([]cuminstair.Upstream, 0, n)
	for i := range list {
		if c := &list[i]; !c.active && len(out) < n/2 {
			taken[c.upstream.Host] = true
			out = append(out, c.upstream)
		}
	}
	start, _ := slices.BinarySearchFunc(list, t.last, func(c candidate, host string) int {
		// The host that was selected last counts as smaller, so that the search finds the one after it.
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

// checkHosts checks each host once.
func (d *Daemon) checkHosts(ctx context.Context, list []cuminstair.Upstream) {
	var wg sync.WaitGroup
	defer wg.Wait()
	sem := make(chan struct{}, maxConcurrentChecks)
	for _, u := range list {
		sem <- struct{}{}
		wg.Add(1)
		go func(u cuminstair.Upstream) {
			defer wg.Done()
			ok, leaving := d.checker.Check(ctx, &u)
			if ctx.Err() == nil {
				d.decisions.Probe(u.Host, ok, leaving)
			}
			<-sem
		}(u)
	}
}
