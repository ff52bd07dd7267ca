package entry

import (
	"context"
	"sync"
	"time"

	"cuminstair.org/cuminstair/ownership"
)

// Intervals and limits of the check whether the daemon's data centre is cut off.
const (
	connectivityInterval = 200 * time.Millisecond
	// storeSilentAfter is the age of the last read of the owner records, and readSilentAfter the time that a read has
	// had no answer, after which daemons of other data centres are probed.
	storeSilentAfter = 1300 * time.Millisecond
	readSilentAfter  = 400 * time.Millisecond
	// probeTimeout is how long a probed daemon may take to answer.
	probeTimeout = 300 * time.Millisecond
	// maxProbes bounds the daemons that are probed in one check.
	maxProbes = 4
)

// watchConnectivity makes the daemon not ready while its data centre is cut off: the load balancer sends callers to
// another data centre once no daemon of the cut-off data centre is ready. While daemons of other data centres answer, the
// daemon stays ready even if the store does not answer, since calls can be forwarded to an owner there.
func (d *Daemon) watchConnectivity(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sleep(ctx, connectivityInterval)
		cut := d.storeSilent() && !d.remoteAnswers(ctx)
		if ctx.Err() == nil && d.cutOff.Swap(cut) != cut {
			d.Log.Warn("entry: connection to other data centres changed", "cut off", cut)
		}
	}
	return nil
}

// storeSilent reports whether the last read of the owner records is older than storeSilentAfter, or the current read has
// had no answer for readSilentAfter.
func (d *Daemon) storeSilent() bool {
	now := d.Timer.Now()
	if since := d.readStarted.Load(); since != nil && now.Sub(*since) > readSilentAfter {
		return true
	}
	at := d.readAt.Load()
	return at != nil && now.Sub(*at) > storeSilentAfter
}

// remoteAnswers reports whether a daemon of another data centre answers. It returns true if no such daemon is known.
func (d *Daemon) remoteAnswers(ctx context.Context) bool {
	d.mu.Lock()
	nodes := d.view.Peers(d.Timer.Now())
	d.mu.Unlock()
	var remote []string
	for _, n := range nodes {
		if n.Centre != d.Settings.Centre {
			remote = append(remote, n.Addr)
		}
	}
	if len(remote) == 0 {
		return true
	}
	step := max(1, len(remote)/maxProbes)
	answers := make(chan bool, maxProbes)
	var wg sync.WaitGroup
	for i := 0; i < len(remote) && i < maxProbes*step; i += step {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			answers <- d.peers.post(ctx, remote[i], notifyPath, struct{}{}, nil) == nil
		}()
	}
	wg.Wait()
	close(answers)
	for ok := range answers {
		if ok {
			return true
		}
	}
	return false
}

// probeOwner asks a suspected owner whether it is there, unless a probe is in progress. An owner that neither writes its
// record nor answers counts as gone, so that its services are taken over before its record is stale. The caller holds
// d.mu.
func (d *Daemon) probeOwner(ctx context.Context, s ownership.Suspect) {
	if d.probing[s.Name] {
		return
	}
	d.probing[s.Name] = true
	go func() {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		err := d.peers.post(probe, s.Node.Addr, notifyPath, struct{}{}, nil)
		d.mu.Lock()
		delete(d.probing, s.Name)
		if err != nil && ctx.Err() == nil {
			d.view.Unreachable(s)
		}
		d.mu.Unlock()
		if err != nil {
			d.Log.Info("entry: owner does not answer", "owner", s.Name, "error", err)
			signal(d.readOwnersNow)
		}
	}()
}
