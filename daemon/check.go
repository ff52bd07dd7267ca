package daemon

import (
	"context"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// Active checks of upstreams.
const (
	// checkInterval bounds how old the knowledge about an idle upstream is; three failed checks take 3 s, which is the
	// bound of invariant 6.
	checkInterval = time.Second
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-due:
			d.checkAll(ctx)
		}
	}
}

// checkAll checks each owned host once.
func (d *Daemon) checkAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	places := make(chan struct{}, checkLimit)
	for _, u := range d.decisions.Upstreams() {
		if d.Owns != nil && !d.Owns(u.Host) {
			continue
		}
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
