package timer

import (
	"container/heap"
	"time"
)

// entry is one subscription.
type entry struct {
	at     time.Time     // when it is due next
	period time.Duration // 0: fires once
	fn     func(now time.Time)
	seq    uint64 // insertion order, for entries that are due at the same time
	index  int    // position in the heap; -1 when it is not in it
}

// queue is a heap of subscriptions, the next one due first.
type queue struct {
	entries []*entry
	seq     uint64
}

func (q *queue) Len() int { return len(q.entries) }

func (q *queue) Less(i, j int) bool {
	a, b := q.entries[i], q.entries[j]
	if a.at.Equal(b.at) {
		return a.seq < b.seq
	}
	return a.at.Before(b.at)
}

func (q *queue) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
	q.entries[i].index = i
	q.entries[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(*entry)
	q.seq++
	e.seq = q.seq
	e.index = len(q.entries)
	q.entries = append(q.entries, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.entries) - 1
	e := q.entries[last]
	q.entries[last] = nil
	q.entries = q.entries[:last]
	e.index = -1
	return e
}

// popDue removes and returns the first entry that is due at now, and reinserts it if it is periodic. If no entry is due,
// it returns nil and the time until the next one, or an hour if the queue is empty.
func (q *queue) popDue(now time.Time) (*entry, time.Duration) {
	if len(q.entries) == 0 {
		return nil, time.Hour
	}
	e := q.entries[0]
	if wait := e.at.Sub(now); wait > 0 {
		return nil, wait
	}
	heap.Pop(q)
	if e.period > 0 {
		e.at = e.at.Add(e.period)
		if late := now.Sub(e.at); late > e.period {
			// Skips the ticks that were missed during a pause of the process.
			e.at = e.at.Add(late / e.period * e.period)
		}
		heap.Push(q, e)
	}
	return e, 0
}

// remove removes an entry and returns false if it was not in the queue.
func (q *queue) remove(e *entry) bool {
	if e.index < 0 || e.index >= len(q.entries) || q.entries[e.index] != e {
		return false
	}
	heap.Remove(q, e.index)
	return true
}
