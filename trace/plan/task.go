package plan

import (
	"iter"
	"slices"
	"time"
)

// coroutine is a loop of a daemon, an operator's call, or the host loop of the player.
type coroutine struct {
	daemon *daemon // nil: belongs to no daemon and can't be paused
	wake   time.Time
	ended  bool
	yield  func(struct{}) bool
	next   func() (struct{}, bool)
	stop   func()
}

// spawn starts fn at the present time.
func (p *Player) spawn(d *daemon, fn func()) {
	t := &coroutine{daemon: d, wake: p.clock.Now()}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		fn()
	})
	p.coroutines = append(p.coroutines, t)
}

// wait suspends the current coroutine for d while the others run. It returns false if the coroutine has to end.
func (p *Player) wait(d time.Duration) bool {
	t := p.current
	if t == nil {
		return true
	}
	if t.ended {
		return false
	}
	t.wake = p.clock.Now().Add(d)
	if !t.yield(struct{}{}) {
		t.ended = true
	}
	return !t.ended
}

// advance runs the coroutines that are due up to a time. Those that are due at the same time run in the order of their
// start.
func (p *Player) advance(to time.Time) {
	for {
		t := p.due()
		if t == nil || t.wake.After(to) {
			p.clock.Advance(to.Sub(p.clock.Now()))
			return
		}
		if t.wake.After(p.clock.Now()) {
			p.clock.Advance(t.wake.Sub(p.clock.Now()))
		}
		p.resume(t)
	}
}

func (p *Player) due() *coroutine {
	var first *coroutine
	for _, t := range p.coroutines {
		if (t.daemon == nil || !t.daemon.paused) && (first == nil || t.wake.Before(first.wake)) {
			first = t
		}
	}
	return first
}

func (p *Player) resume(t *coroutine) {
	p.current = t
	_, ok := t.next()
	p.current = nil
	if !ok {
		p.drop(func(o *coroutine) bool { return o == t })
	}
}

// drop ends the matching coroutines at the point where they wait.
func (p *Player) drop(match func(t *coroutine) bool) {
	var dropped []*coroutine
	p.coroutines = slices.DeleteFunc(p.coroutines, func(t *coroutine) bool {
		if !match(t) {
			return false
		}
		dropped = append(dropped, t)
		return true
	})
	for _, t := range dropped {
		t.ended = true
		p.current = t
		t.stop()
		p.current = nil
	}
}

func (p *Player) end() { p.drop(func(*coroutine) bool { return true }) }
