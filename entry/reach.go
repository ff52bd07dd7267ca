package entry

import (
	"context"
	"sync"
	"time"
)

// Times of the watch on the own data centre.
const (
	reachEvery = 200 * time.Millisecond
	// cutAfter is the age of the last reading of the store, and answerAfter the time without an answer to one, after which
	// daemons of other data centres are asked.
	cutAfter    = 1300 * time.Millisecond
	answerAfter = 400 * time.Millisecond
	// probeTime is how long they may take.
	probeTime = 300 * time.Millisecond
	// probesAtOnce bounds the daemons that are asked.
	probesAtOnce = 4
)

// watchReach takes the daemon out of rotation while its data centre is cut off: the load balancer leads callers to
// another data centre once no daemon of theirs is ready. A store that does not answer while daemons of other data
// centres do is no reason, since calls can be brought to an owner there.
func (d *Daemon) watchReach(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sleep(ctx, reachEvery)
		cut := d.silentStore() && !d.anyRemote(ctx)
		if ctx.Err() == nil && d.cutOff.Swap(cut) != cut {
			d.Log.Warn("entry: reach of other data centres has changed", "cut off", cut)
		}
	}
	return nil
}

// silentStore tells whether the owner records could not be read for a while.
func (d *Daemon) silentStore() bool {
	now := d.Timer.Now()
	if since := d.reading.Load(); since != nil && now.Sub(*since) > answerAfter {
		return true
	}
	at := d.readAt.Load()
	return at != nil && now.Sub(*at) > cutAfter
}

// anyRemote tells whether a daemon of another data centre answers, or none is known.
func (d *Daemon) anyRemote(ctx context.Context) bool {
	d.mu.Lock()
	nodes := d.view.Nodes(d.Timer.Now())
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
	step := max(1, len(remote)/probesAtOnce)
	answers := make(chan bool, probesAtOnce)
	var wg sync.WaitGroup
	for i := 0; i < len(remote) && i < probesAtOnce*step; i += step {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, probeTime)
			defer cancel()
			answers <- d.peers.post(ctx, remote[i], pokePath, struct{}{}, nil) == nil
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
