package upstream

import (
	"context"
	"sort"
	"time"
)

// Rules for giving up a silent connection.
const (
	// MaxQuietTicks bounds, in multiples of the quiet time, how long a quiet connection is kept while the upstream answers
	// on new connections and its count of requests in use does not show a loss. The count may include requests of other
	// daemons, which can hide a lost request.
	MaxQuietTicks = 8
	// missesToClose is how many probes in a row must show a loss before a connection is given up, since an answer
	// may be on its way during one probe.
	missesToClose = 2
	// quietRefresh is how long the quiet time of a host is cached. It follows a tail latency, which changes slowly.
	quietRefresh = 100 * time.Millisecond
)

// watch checks the connection for silence until the returned function is called.
func (a *attempt) watch() (stop func()) {
	p := a.pool
	now := p.sender.Timer.Now()
	a.lastReceived = a.conn.received.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	a.quiet = p.quiet(now)
	a.due = now.Add(a.quiet)
	p.attempts[a] = true
	p.arm(now, a.due)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.attempts, a)
	}
}

// quiet returns the quiet time of the host. It is cached, since Sender.Quiet takes the lock of the daemon's decisions.
func (p *pool) quiet(now time.Time) time.Duration {
	if p.quietTime == 0 || now.Sub(p.quietReadAt) >= quietRefresh {
		p.quietTime, p.quietReadAt = p.sender.quiet(p.host), now
	}
	return p.quietTime
}

// arm sets the timer that checks the attempts. One timer serves all attempts, since one for each would cost a tenth of
// the time that the daemon spends on a request. The timer stays set when attempts end; checkDue then finds none due.
func (p *pool) arm(now, at time.Time) {
	if !p.armed.IsZero() {
		if !at.Before(p.armed) {
			return
		}
		p.disarm()
	}
	p.armed = at
	p.disarm = p.sender.Timer.After(at.Sub(now), p.checkDue)
}

// checkDue calls tick for the attempts that are due and sets the timer for the next one.
func (p *pool) checkDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.armed) {
		return // fired although disarm was called
	}
	p.armed = time.Time{}
	var next time.Time
	for a := range p.attempts {
		if !a.due.After(now) {
			a.tick(now)
			a.due = a.due.Add(max(now.Sub(a.due)/a.quiet, 1) * a.quiet)
		}
		if next.IsZero() || a.due.Before(next) {
			next = a.due
		}
	}
	if !next.IsZero() {
		p.arm(now, next)
	}
}

// tick is called once per quiet time. If the connection received nothing since the last call, the upstream is probed.
func (a *attempt) tick(now time.Time) {
	p := a.pool
	if got := a.conn.received.Load(); got != a.lastReceived {
		a.lastReceived, a.quietTicks, a.misses = got, 0, 0
		return
	}
	a.quietTicks++
	// One probe is enough for all quiet connections of the upstream.
	if a.silent.Load() || p.probeRunning || now.Sub(p.lastProbe) < a.quiet/2 {
		return
	}
	p.probeRunning = true
	p.lastProbe = now
	go p.probe()
}

// probe sends GET /health on a new connection and uses the answer to find the quiet connections that are lost.
func (p *pool) probe() {
	before := p.quietAttempts()
	h, err := p.check(context.Background())
	var lost []*attempt
	p.mu.Lock()
	if err == nil {
		lost = p.findLost(before, h.inUse)
	}
	p.probeRunning = false
	p.mu.Unlock()
	for _, a := range lost {
		// An idempotent request ends now, so that it can be sent again; a request that is not idempotent waits for
		// its answer until its deadline.
		if a.message.Idempotent {
			a.conn.abort()
		}
	}
	if p.sender.Probed != nil {
		p.sender.Probed(p.host, err == nil, len(lost))
	}
}

// quietAttempts returns the attempts that are quiet, the oldest first.
func (p *pool) quietAttempts() []*attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*attempt
	for a := range p.attempts {
		if a.quietTicks > 0 && !a.silent.Load() {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].began.Before(list[j].began) })
	return list
}

// findLost marks and returns the attempts whose connections are given up. It compares the attempts that were quiet
// before the probe and still are with the upstream's count of requests in use. An upstream that is only slow counts all
// of them. If it counts fewer, the difference is lost, and the oldest attempts are taken to be the lost ones.
func (p *pool) findLost(before []*attempt, used int) (lost []*attempt) {
	var still []*attempt
	for _, a := range before {
		if p.attempts[a] && a.conn.received.Load() == a.lastReceived {
			still = append(still, a)
		}
	}
	missing := 0
	if used >= 0 {
		// An upstream may count only the requests that run, at most its slots.
		missing = min(len(still), p.slots) - used
	}
	for i, a := range still {
		if i < missing {
			a.misses++
		} else {
			a.misses = 0
		}
		if a.misses >= missesToClose || a.quietTicks > MaxQuietTicks {
			a.silent.Store(true)
			lost = append(lost, a)
		}
	}
	if len(lost) > 0 {
		// The unused connections may be lost as well.
		p.suspectUntil = p.sender.Timer.Now()
	}
	return lost
}
