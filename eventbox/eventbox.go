// Package eventbox passes events between the components of a process. A box keeps only the latest event of each kind,
// so that a slow reader never blocks a writer and never reads an outdated event.
package eventbox

import "sync"

// Box holds at most one event per kind K. The zero value is ready to use.
type Box[K comparable, V any] struct {
	mu     sync.Mutex
	events map[K]V
	signal chan struct{} // closed when the box becomes non-empty or is closed; nil while no reader waits
	closed bool
}

// Set stores the latest event of a kind and wakes the reader. After Close it does nothing.
func (b *Box[K, V]) Set(kind K, v V) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	if b.events == nil {
		b.events = make(map[K]V)
	}
	b.events[kind] = v
	b.wake()
}

// Merge replaces the pending event of a kind by merge(old, ok), where old is that event and ok is false if there is
// none, and wakes the reader. merge must not use the box, which is locked. After Close, Merge does nothing.
func (b *Box[K, V]) Merge(kind K, merge func(old V, ok bool) V) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	if b.events == nil {
		b.events = make(map[K]V)
	}
	old, ok := b.events[kind]
	b.events[kind] = merge(old, ok)
	b.wake()
}

// Wait blocks until there is an event, then removes and returns all events. It returns false once the box is closed and
// empty.
func (b *Box[K, V]) Wait() (map[K]V, bool) {
	for {
		b.mu.Lock()
		if len(b.events) > 0 {
			events := b.events
			b.events = nil
			b.mu.Unlock()
			return events, true
		}
		if b.closed {
			b.mu.Unlock()
			return nil, false
		}
		if b.signal == nil {
			b.signal = make(chan struct{})
		}
		signal := b.signal
		b.mu.Unlock()
		<-signal
	}
}

// Close wakes the reader. Later events are discarded; pending ones can still be read.
func (b *Box[K, V]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.wake()
}

func (b *Box[K, V]) wake() {
	if b.signal != nil {
		close(b.signal)
		b.signal = nil
	}
}
