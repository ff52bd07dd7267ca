package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in virtual time. Events of the same time run in the order in which they were added.
type clock struct {
	now    time.Time
	events eventHeap
	added  int
}

type event struct {
	at    time.Time
	order int
	fn    func()
}

// after runs fn after a time.
func (c *clock) after(d time.Duration, fn func()) {
	c.added++
	heap.Push(&c.events, event{at: c.now.Add(max(0, d)), order: c.added, fn: fn})
}

// every runs fn after each interval, from the first interval on.
func (c *clock) every(interval time.Duration, fn func()) {
	c.after(interval, func() {
		fn()
		c.every(interval, fn)
	})
}

// run runs the events up to a time.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e, _ := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
	}
	c.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
