package upstream

import (
	"context"
	"time"
)

// watch probes the upstream each time that the connection was quiet for the quiet time of the host. The returned
// function ends it.
func (a *attempt) watch() (stop func()) {
	p := a.pool
	quiet := p.sender.quiet(p.host)
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{attempt: a, quiet: quiet, seen: a.conn.got.Load(), ctx: ctx}
	p.mu.Lock()
	p.attempts[a] = true
	p.mu.Unlock()
	stopTimer := p.sender.Timer.Every(quiet, w.tick)
	return func() {
		stopTimer()
		cancel()
		p.mu.Lock()
		delete(p.attempts, a)
		p.mu.Unlock()
	}
}

// watcher looks for silence on the connection of one attempt. tick is called by the timer, one call at a time.
type watcher struct {
	attempt *attempt
	quiet   time.Duration
	seen    int64 // bytes received at the last tick
	ticks   int   // ticks without a byte
	ctx     context.Context
}

func (w *watcher) tick(time.Time) {
	got := w.attempt.conn.got.Load()
	if got != w.seen {
		w.seen, w.ticks = got, 0
		return
	}
	w.ticks++
	if w.attempt.left.Load() || !w.attempt.pool.beginProbe() {
		return
	}
	go w.probe(got, w.ticks > PatienceFactor)
}

// probe asks the upstream for its health on a new connection. If the upstream answers, its connection is left if fewer
// requests are in use there than this daemon alone waits for, or if the patience is over. A merely slow upstream has
// them all in use.
func (w *watcher) probe(seen int64, over bool) {
	p := w.attempt.pool
	defer p.endProbe()
	before := p.waiting()
	h, err := p.check(w.ctx)
	if err != nil {
		return
	}
	lost := h.used >= 0 && h.used < p.stillWaiting(before)
	if !lost && !over {
		return
	}
	if w.attempt.conn.got.Load() != seen || w.ctx.Err() != nil {
		return
	}
	w.attempt.leave()
}

// leave takes the connection out of the pool. An idempotent request ends at once, so that it can be sent again;
// another one waits for its deadline.
func (a *attempt) leave() {
	if a.left.Swap(true) {
		return
	}
	p := a.pool
	p.mu.Lock()
	// The unused connections may share the fate of this one.
	p.suspect = p.sender.Timer.Now()
	p.mu.Unlock()
	if a.message.Idempotent {
		a.conn.abort()
	}
	if p.sender.Left != nil {
		p.sender.Left(p.host)
	}
}

// beginProbe allows one probe at a time for each upstream.
func (p *pool) beginProbe() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing {
		return false
	}
	p.probing = true
	return true
}

func (p *pool) endProbe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
}

// waiting returns the attempts that wait for an answer on connections that are not known as silent.
func (p *pool) waiting() []*attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*attempt
	for a := range p.attempts {
		if !a.left.Load() {
			list = append(list, a)
		}
	}
	return list
}

// stillWaiting returns how many of the attempts still wait, at most the slots: an upstream may count as used only those
// that run.
func (p *pool) stillWaiting(before []*attempt) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, a := range before {
		if p.attempts[a] {
			n++
		}
	}
	return min(n, p.slots)
}
