package admit

import (
	"container/heap"
	"time"

	"cuminstair.org/cuminstair"
)

// item is one request that waits or runs.
type item struct {
	req   *cuminstair.Request
	share *share
	seq   uint64
	index int // position in the queue; -1 while it runs
}

// queue is a heap of the waiting requests of one kind, ordered by urgency (highest first), then by deadline, then by
// arrival.
type queue []*item

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.req.Urgency != b.req.Urgency {
		return a.req.Urgency > b.req.Urgency
	}
	if !a.req.Deadline.Equal(b.req.Deadline) {
		return a.req.Deadline.Before(b.req.Deadline)
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	it := x.(*item)
	it.index = len(*q)
	*q = append(*q, it)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*q = old[:last]
	it.index = -1
	return it
}

// removeLate removes and returns the requests that would end after their deadline if they started now and ran for need.
func (q *queue) removeLate(now time.Time, need time.Duration) []*item {
	var late []*item
	kept := (*q)[:0]
	for _, it := range *q {
		if now.Add(need).After(it.req.Deadline) {
			it.index = -1
			late = append(late, it)
			continue
		}
		kept = append(kept, it)
	}
	if len(late) == 0 {
		return nil
	}
	clear((*q)[len(kept):])
	*q = kept
	for i, it := range kept {
		it.index = i
	}
	heap.Init(q)
	return late
}

func (s *share) push(it *item) {
	heap.Push(&s.waiting, it)
	s.byUrgency[it.req.Urgency]++
}

func (s *share) pop() *item {
	it := heap.Pop(&s.waiting).(*item)
	s.uncount(it)
	return it
}

func (s *share) remove(it *item) {
	heap.Remove(&s.waiting, it.index)
	s.uncount(it)
}

// removeLate removes and returns the requests that are estimated to miss their deadline even if they start now.
func (s *share) removeLate(now time.Time) []*item {
	late := s.waiting.removeLate(now, s.timeNeeded())
	for _, it := range late {
		s.uncount(it)
	}
	return late
}

// uncount removes a request from byUrgency. Entries at zero are deleted, since callers can use any number of urgencies.
func (s *share) uncount(it *item) {
	u := it.req.Urgency
	if s.byUrgency[u]--; s.byUrgency[u] <= 0 {
		delete(s.byUrgency, u)
	}
}
