package pools

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is the persistent state of a planner, which the next controller restores. Times are milliseconds since 1970.
type State struct {
	InitialHosts map[string]int         `json:"first"`            // initial number of hosts of each pool
	LastService  string                 `json:"last,omitempty"`   // service with the most recent peak
	LastStart    int64                  `json:"began,omitempty"`  // start of that peak
	Interval     int64                  `json:"length,omitempty"` // milliseconds between the starts of consecutive peaks
	Successors   map[string]string      `json:"next,omitempty"`   // by service: the service whose peak followed
	Series       map[string]SeriesState `json:"series,omitempty"`
}

// SeriesState is the persistent state of the demand of one service.
type SeriesState struct {
	BaseCores float64 `json:"base,omitempty"` // cores of its initial pool
	MeanCores float64 `json:"mean,omitempty"` // moving average of the demand in cores
	PeakStart int64   `json:"began,omitempty"`
	PeakCores float64 `json:"peak,omitempty"` // highest demand of its last peak in cores
}

// Revision returns a string that changes when a peak starts or an initial number of hosts changes, so that the state has
// to be stored again. Other changes of the state are not worth a write.
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

// Keep forgets the services that are not in a list.
func (p *Planner) Keep(services []string) {
	gone := func(name string) bool { return !slices.Contains(services, name) }
	maps.DeleteFunc(p.history, func(name string, _ *poolHistory) bool { return gone(name) })
	maps.DeleteFunc(p.forecast.services, func(name string, _ *series) bool { return gone(name) })
	maps.DeleteFunc(p.forecast.successors, func(name, next string) bool { return gone(name) || gone(next) })
}

// Snapshot returns the encoded State of the planner.
func (p *Planner) Snapshot() []byte {
	f := p.forecast
	m := State{InitialHosts: map[string]int{}, LastService: f.lastService, Interval: f.interval.Milliseconds(), Successors: f.successors, Series: map[string]SeriesState{}}
	if !f.lastStart.IsZero() {
		m.LastStart = f.lastStart.UnixMilli()
	}
	for name, h := range p.history {
		m.InitialHosts[name] = h.initial
	}
	for name, s := range f.services {
		x := SeriesState{BaseCores: s.baseCores, MeanCores: s.mean, PeakCores: s.peakCores}
		if !s.peakStart.IsZero() {
			x.PeakStart = s.peakStart.UnixMilli()
		}
		m.Series[name] = x
	}
	// Encoding a State can't fail.
	data, _ := json.Marshal(m)
	return data
}

// Restore restores the state that Snapshot of an earlier planner returned.
func (p *Planner) Restore(now time.Time, data []byte) error {
	var m State
	if err := json.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode planner state: %w", err)
	}
	for name, initial := range m.InitialHosts {
		p.history[name] = &poolHistory{initial: initial, neededAt: now}
	}
	f := p.forecast
	f.lastService, f.interval = m.LastService, time.Duration(m.Interval)*time.Millisecond
	if m.LastStart > 0 {
		f.lastStart = time.UnixMilli(m.LastStart)
	}
	if m.Successors != nil {
		f.successors = m.Successors
	}
	for name, x := range m.Series {
		s := &series{baseCores: x.BaseCores, mean: x.MeanCores, peakCores: x.PeakCores, observedAt: now}
		if x.PeakStart > 0 {
			s.peakStart = time.UnixMilli(x.PeakStart)
		}
		f.services[name] = s
	}
	return nil
}
