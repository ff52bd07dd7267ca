package exhaust

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// search is a search for violations.
type search struct {
	opts   *Options
	limit  int // events in an order
	mu     sync.Mutex
	seen   map[state]int // by state: most events that were left when it was explored
	result *Result
	over   bool // the search ends before all orders are checked
}

// Run checks every order of up to Depth events. The orders are checked by their length, so that the violations found are the
// shortest. Errors: ErrMalformed if an event in First is not possible.
func Run(opts Options) (*Result, error) {
	began := time.Now()
	if x := newWorld(&opts, nil); x.violation != nil || x.impossible != nil {
		return nil, fmt.Errorf("event %v in First of %s: %w", x.impossible, opts.Name, cuminstair.ErrMalformed)
	}
	s := &search{opts: &opts, result: &Result{Name: opts.Name}}
	for s.limit = 1; s.limit <= opts.Depth && !s.over; s.limit++ {
		s.seen = map[state]int{}
		s.result.States, s.result.Merged, s.result.Orders, s.result.Losses = 0, 0, 0, 0
		s.exploreAll()
		if !s.over {
			s.result.Depth = s.limit
		}
	}
	s.result.Took = time.Since(began)
	return s.result, nil
}

// exploreAll checks all orders of the present length, by their first event in Parallel goroutines.
func (s *search) exploreAll() {
	first := make(chan Event)
	var wg sync.WaitGroup
	for range max(1, s.opts.Parallel) {
		wg.Go(func() {
			for e := range first {
				s.exploreNext(nil, e, s.replay(nil))
			}
		})
	}
	for _, e := range newWorld(s.opts, nil).choices() {
		first <- e
	}
	close(first)
	wg.Wait()
}

// explore checks all orders that begin with the events in prefix, which have led to x.
func (s *search) explore(prefix []Event, x *world) {
	if len(prefix) == s.limit {
		s.settle(prefix, x)
		return
	}
	for i, e := range x.choices() {
		next := x
		if i > 0 { // the first event goes on with x
			next = s.replay(prefix)
		}
		s.exploreNext(prefix, e, next)
	}
}

// exploreNext checks all orders that begin with the events in prefix, which have led to x, and e. x is nil if the events could
// not be repeated.
func (s *search) exploreNext(prefix []Event, e Event, x *world) {
	last := len(prefix)+1 == s.limit
	if s.stopped() || last && e.Op.preparesOnly(s.opts.Away) {
		return
	}
	if x == nil || !x.apply(e) {
		s.count(func(r *Result) { r.Diverged++ })
		return
	}
	events := append(slices.Clone(prefix), e)
	if x.violation != nil {
		s.found(events, x, false)
		return
	}
	if !s.known(x, s.limit-len(events)) {
		s.explore(events, x)
	}
}

func (s *search) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

func (s *search) count(fn func(r *Result)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.result)
}

// known reports whether the orders that continue a state have been checked. States after the last event aren't compared.
func (s *search) known(x *world, left int) bool {
	var h state
	if left > 0 {
		h = hash(x)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if most, ok := s.seen[h]; left > 0 && ok && most >= left {
		s.result.Merged++
		return true
	}
	s.seen[h] = left
	s.result.States++
	s.over = s.over || s.opts.MaxStates > 0 && s.result.States >= s.opts.MaxStates
	return false
}

// replay returns the world after some events, or nil if one was not possible.
func (s *search) replay(events []Event) *world {
	x := newWorld(s.opts, nil)
	for _, e := range events {
		if !x.apply(e) {
			return nil
		}
	}
	return x
}

// settle checks what follows after the last event of an order.
func (s *search) settle(events []Event, x *world) {
	x.settle()
	s.count(func(r *Result) {
		r.Orders++
		r.Losses += x.losses
	})
	if x.violation != nil {
		s.found(events, x, true)
	}
}

// found records a violation unless one of the same rule by fewer events of the same kinds is known.
func (s *search) found(events []Event, x *world, settle bool) {
	v := *x.violation
	v.Events, v.Settle = events, settle
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over || slices.ContainsFunc(s.result.Violations, func(o Violation) bool { return o.Rule == v.Rule && o.within(&v) }) {
		return
	}
	s.result.Violations = append(s.result.Violations, v)
	s.over = len(s.result.Violations) >= max(1, s.opts.MaxViolations)
}

// within reports whether the kinds of the events are among those of another violation, in this order.
func (v *Violation) within(o *Violation) bool {
	n := 0
	for _, e := range o.Events {
		if n < len(v.Events) && v.Events[n].Op == e.Op {
			n++
		}
	}
	return n == len(v.Events)
}
