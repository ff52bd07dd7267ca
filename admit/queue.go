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

// queue is a heap of waiting requests of one kind: the most urgent first, then the earliest deadline, then the first
// that came.
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

// late removes and returns the requests that would end after their deadline if they started now and ran for need.
func (q *queue) late(now time.Time, need time.Duration) []*item {
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
	s.levels[it.req.Urgency]++
}

func (s *share) pop() *item {
	it := heap.Pop(&s.waiting).(*item)
	s.left(it)
	return it
}

func (s *share) remove(it *item) {
	heap.Remove(&s.waiting, it.index)
	s.left(it)
}

// late removes and returns the requests that can't end before their deadline any more.
func (s *share) late(now time.Time) []*item {
	late := s.waiting.late(now, s.need())
	for _, it := range late {
		s.left(it)
	}
	return late
}

// left keeps levels; a level without requests is forgotten, since callers could name any number of them.
func (s *share) left(it *item) {
	u := it.req.Urgency
	if s.levels[u]--; s.levels[u] <= 0 {
		delete(s.levels, u)
	}
}
