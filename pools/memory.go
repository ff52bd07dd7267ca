package pools

import (
	"encoding/json"
	"fmt"
	"time"
)

// Memory is what a planner has learned, as it is kept for the next controller. Times are milliseconds since 1970.
type Memory struct {
	First  map[string]int          `json:"first"` // hosts that each pool had at first
	Last   string                  `json:"last,omitempty"`
	Began  int64                   `json:"began,omitempty"`
	Length int64                   `json:"length,omitempty"` // milliseconds
	Next   map[string]string       `json:"next,omitempty"`
	Series map[string]SeriesMemory `json:"series,omitempty"`
}

// SeriesMemory is what is known of the peaks of one service.
type SeriesMemory struct {
	Base  float64 `json:"base,omitempty"`
	Mean  float64 `json:"mean,omitempty"`
	Began int64   `json:"began,omitempty"`
	Peak  float64 `json:"peak,omitempty"`
}

// Stamp changes whenever there is something new to keep.
func (p *Planner) Stamp() string {
	return fmt.Sprint(p.forecast.last, p.forecast.began.UnixMilli(), p.firstSum())
}

func (p *Planner) firstSum() int {
	sum := 0
	for _, n := range p.needs {
		sum += n.first
	}
	return sum
}

// Keep returns what the planner has learned.
func (p *Planner) Keep() []byte {
	t := p.forecast
	m := Memory{First: map[string]int{}, Last: t.last, Length: t.length.Milliseconds(), Next: t.next, Series: map[string]SeriesMemory{}}
	if !t.began.IsZero() {
		m.Began = t.began.UnixMilli()
	}
	for name, n := range p.needs {
		m.First[name] = n.first
	}
	for name, s := range t.services {
		x := SeriesMemory{Base: s.base, Mean: s.mean, Peak: s.peak}
		if !s.began.IsZero() {
			x.Began = s.began.UnixMilli()
		}
		m.Series[name] = x
	}
	// A Memory always encodes.
	data, _ := json.Marshal(m)
	return data
}

// Restore takes what an earlier planner has learned.
func (p *Planner) Restore(now time.Time, data []byte) error {
	var m Memory
	if err := json.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode memory of the planner: %w", err)
	}
	for name, first := range m.First {
		p.needs[name] = &need{first: first, at: now}
	}
	t := p.forecast
	t.last, t.length = m.Last, time.Duration(m.Length)*time.Millisecond
	if m.Began > 0 {
		t.began = time.UnixMilli(m.Began)
	}
	if m.Next != nil {
		t.next = m.Next
	}
	for name, x := range m.Series {
		s := &series{base: x.Base, mean: x.Mean, peak: x.Peak, seen: now}
		if x.Began > 0 {
			s.began = time.UnixMilli(x.Began)
		}
		t.services[name] = s
	}
	return nil
}
