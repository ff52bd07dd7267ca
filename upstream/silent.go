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
)

// watch looks for silence on the connection until the returned function is called.
func (a *attempt) watch() (stop func()) {
	p := a.pool
	a.seen = a.conn.got.Load()
	a.quiet = p.sender.quiet(p.host)
	stopTimer := p.sender.Timer.Every(a.quiet, a.tick)
	p.mu.Lock()
	p.attempts[a] = true
	p.mu.Unlock()
	return func() {
		stopTimer()
		p.mu.Lock()
		delete(p.attempts, a)
		p.mu.Unlock()
	}
}

// tick is called each quiet time. If the connection received nothing since the last call, the upstream is probed.
func (a *attempt) tick(now time.Time) {
	p := a.pool
	got := a.conn.got.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if got != a.seen {
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
