package pools

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the persistent state of a planner, which the next controller restores. Times are milliseconds since 1970.
type State struct {
	First  map[string]int         `json:"first"`            // initial number of hosts of each pool
	Last   string                 `json:"last,omitempty"`   // service with the most recent peak
	Began  int64                  `json:"began,omitempty"`  // start of that peak
	Length int64                  `json:"length,omitempty"` // milliseconds between the starts of consecutive peaks
	Next   map[string]string      `json:"next,omitempty"`   // by service: the service whose peak followed
	Series map[string]SeriesState `json:"series,omitempty"`
}

// SeriesState is the persistent state of the demand of one service.
type SeriesState struct {
	Base  float64 `json:"base,omitempty"`
	Mean  float64 `json:"mean,omitempty"`
	Began int64   `json:"began,omitempty"`
	Peak  float64 `json:"peak,omitempty"`
}

// Revision returns a string that changes whenever the state returned by Keep is worth storing again.
func (p *Planner) Revision() string {
	return fmt.Sprint(p.forecast.lastService, p.forecast.lastStart.UnixMilli(), p.initialHostSum())
}

func (p *Planner) initialHostSum() int {
	sum := 0
	for _, h := range p.history {
		sum += h.initial
	}
	return sum
}

// Snapshot returns the encoded State of the planner.
func (p *Planner) Snapshot() []byte {
	f := p.forecast
	m := State{First: map[string]int{}, Last: f.lastService, Length: f.interval.Milliseconds(), Next: f.successors, Series: map[string]SeriesState{}}
	if !f.lastStart.IsZero() {
		m.Began = f.lastStart.UnixMilli()
	}
	for name, h := range p.history {
		m.First[name] = h.initial
	}
	for name, s := range f.services {
		x := SeriesState{Base: s.baseCores, Mean: s.mean, Peak: s.peakCores}
		if !s.peakStart.IsZero() {
			x.Began = s.peakStart.UnixMilli()
		}
		m.Series[name] = x
	}
	// Encoding a State can't fail.
	data, _ := json.Marshal(m)
	return data
}

// Restore restores the state that Keep of an earlier planner returned.
func (p *Planner) Restore(now time.Time, data []byte) error {
	var m State
	if err := json.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode planner state: %w", err)
	}
	for name, first := range m.First {
		p.history[name] = &poolHistory{initial: first, neededAt: now}
	}
	f := p.forecast
	f.lastService, f.interval = m.Last, time.Duration(m.Length)*time.Millisecond
	if m.Began > 0 {
		f.lastStart = time.UnixMilli(m.Began)
	}
	if m.Next != nil {
		f.successors = m.Next
	}
	for name, x := range m.Series {
		s := &series{baseCores: x.Base, mean: x.Mean, peakCores: x.Peak, observedAt: now}
		if x.Began > 0 {
			s.peakStart = time.UnixMilli(x.Began)
		}
		f.services[name] = s
	}
	return nil
}
