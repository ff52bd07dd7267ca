package upstream

import (
	"context"
	"sort"
	"time"
)

// Rules for leaving a connection.
const (
	// PatienceFactor bounds, in multiples of the quiet time, how long a connection is kept while the upstream answers on
	// new connections and its count of requests in use does not show a loss. The count may include requests of other
	// daemons, so that a lost request can hide behind theirs.
	PatienceFactor = 8
	// missesToLeave is how many probes in a row must show a loss, since an answer may be on its way during one.
	missesToLeave = 2
	// quietRefresh is how long the quiet time of a host is used: it follows a tail latency, which moves slowly.
	quietRefresh = 100 * time.Millisecond
)

// watch looks for silence on the connection until the returned function is called.
func (a *attempt) watch() (stop func()) {
	p := a.pool
	now := p.sender.Timer.Now()
	a.seen = a.conn.got.Load()
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

// quiet returns the quiet time of the host. It is asked for only now and then, since Sender.Quiet takes the lock of the
// decisions.
func (p *pool) quiet(now time.Time) time.Duration {
	if p.quietTime == 0 || now.Sub(p.quietRead) >= quietRefresh {
		p.quietTime, p.quietRead = p.sender.quiet(p.host), now
	}
	return p.quietTime
}

// arm makes the pool look at its attempts at the given time. One timer serves all attempts: one for each would cost a
// tenth of the time that the daemon spends on a request. It stays armed when attempts end, and finds nothing due then.
func (p *pool) arm(now, at time.Time) {
	if !p.armed.IsZero() {
		if !at.Before(p.armed) {
			return
		}
		p.disarm()
	}
	p.armed = at
	p.disarm = p.sender.Timer.After(at.Sub(now), p.look)
}

// look counts the quiet times of the attempts that are due.
func (p *pool) look(now time.Time) {
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

// tick is called each quiet time. If the connection received nothing since the last call, the upstream is probed.
func (a *attempt) tick(now time.Time) {
	p := a.pool
	if got := a.conn.got.Load(); got != a.seen {
		a.seen, a.ticks, a.misses = got, 0, 0
		return
	}
	a.ticks++
	// One probe judges all quiet connections of the upstream.
	if a.left.Load() || p.probing || now.Sub(p.probed) < a.quiet/2 {
		return
	}
	p.probing = true
	p.probed = now
	go p.probe()
}

// probe asks the upstream for its health on a new connection and judges the quiet connections by the answer.
func (p *pool) probe() {
	before := p.quietOnes()
	h, err := p.check(context.Background())
	var lost []*attempt
	p.mu.Lock()
	if err == nil {
		lost = p.judge(before, h.used)
	}
	p.probing = false
	p.mu.Unlock()
	for _, a := range lost {
		// An idempotent request ends now, so that it can be sent again; another one waits for its deadline.
		if a.message.Idempotent {
			a.conn.abort()
		}
	}
	if p.sender.Probed != nil {
		p.sender.Probed(p.host, err == nil, len(lost))
	}
}

// quietOnes returns the attempts that are quiet, the oldest first.
func (p *pool) quietOnes() []*attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*attempt
	for a := range p.attempts {
		if a.ticks > 0 && !a.left.Load() {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].began.Before(list[j].began) })
	return list
}

// judge marks the attempts whose connections leave the pool. All attempts that were quiet before the probe and still
// are would be in use at the upstream if their connections worked, as a merely slow upstream shows. If the upstream has
// fewer in use, the difference is lost, and the oldest ones are taken for it.
func (p *pool) judge(before []*attempt, used int) (lost []*attempt) {
	var still []*attempt
	for _, a := range before {
		if p.attempts[a] && a.conn.got.Load() == a.seen {
			still = append(still, a)
		}
	}
	missing := 0
	if used >= 0 {
		// An upstream may count only the requests that run.
		missing = min(len(still), p.slots) - used
	}
	for i, a := range still {
		if i < missing {
			a.misses++
		} else {
			a.misses = 0
		}
		if a.misses >= missesToLeave || a.ticks > PatienceFactor {
			a.left.Store(true)
			lost = append(lost, a)
		}
	}
	if len(lost) > 0 {
		// The unused connections may share the fate of these.
		p.suspect = p.sender.Timer.Now()
	}
	return lost
}
