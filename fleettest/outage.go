package fleettest

import (
	"slices"
	"strconv"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/trace"
)

// Outage is what a wave and the loss of a rack take from one service, second by second.
type Outage struct {
	// Planned and Lost are instances of each data centre of the service that planned work or a failure has taken and no
	// spare host offsets.
	Planned, Lost [][]int
	Declared      int
	Breach        string // the first account beyond its budget; empty if there is none
}

// Record runs the world for some seconds and loses a rack of the service's first data centre that a wave works in.
func (w *World) Record(service, pool string, seconds, loseAt int) Outage {
	centres := Centres(w.Fleet, pool)
	o := Outage{Planned: make([][]int, len(centres)), Lost: make([][]int, len(centres))}
	for second := range seconds {
		if second == loseAt {
			w.loseRackOf(service, pool, centres)
		}
		if second > 0 {
			w.Step()
		}
		if o.Breach == "" {
			o.Breach = w.breach()
		}
		o.Declared = 0
		for i, c := range centres {
			a := w.Truth.Account(service, c)
			lost := a.Unavailable - a.Planned
			o.Lost[i] = append(o.Lost[i], lost)
			o.Planned[i] = append(o.Planned[i], max(a.Net()-lost, 0))
			o.Declared += a.Declared
		}
	}
	return o
}

// loseRackOf loses the first rack with an active instance in the data centre that has the fewest instances left.
func (w *World) loseRackOf(service, pool string, centres []string) {
	worst := centres[0]
	for _, c := range centres {
		if w.Truth.Account(service, c).Net() > w.Truth.Account(service, worst).Net() {
			worst = c
		}
	}
	for _, h := range w.Fleet.Hosts {
		m := w.Hosts[h.Name]
		if h.Centre == worst && m.Row.Pool == pool && m.Row.State == cuminstair.HostActive && w.up(m) {
			w.Lose(worst, h.Rack)
			return
		}
	}
}

// breach returns the first account that is beyond its budget.
func (w *World) breach() string {
	for _, s := range w.Truth.Services() {
		for _, c := range append([]string{budget.Fleet}, w.Names...) {
			if a := w.Truth.Account(s, c); !a.Within() {
				return a.String()
			}
		}
	}
	return ""
}

// Fits returns the mean part of a demand that fits into the instances that are left from one second to another. The demand
// is a part of what all declared instances can do.
func (o Outage) Fits(from, to int, part float64) float64 {
	if o.Declared == 0 {
		return 1
	}
	sum := 0.0
	for second := from; second < to; second++ {
		out := 0
		for i := range o.Planned {
			out += o.Planned[i][second] + o.Lost[i][second]
		}
		sum += min(1, (1-float64(out)/float64(o.Declared))/part)
	}
	return sum / float64(to-from)
}

// Lines returns the outage as lines of a trace. The hosts of a trace are dealt out to its data centres in turn: planned
// work takes the first ones of a data centre and failures the last ones. A host whose drain is cancelled returns. A host
// that is lost answers no connection any more, neither the established ones nor new ones.
func (o Outage) Lines() []trace.Line {
	var lines []trace.Line
	n := len(o.Planned)
	for i := range n {
		planned, lost := 0, 0
		for second := range o.Planned[i] {
			at := ms(1000 * second)
			for ; planned < o.Planned[i][second]; planned++ {
				lines = append(lines, trace.Line{At: at, Event: trace.EventLeave, Host: hostName(planned*n + i)})
			}
			for ; planned > o.Planned[i][second]; planned-- {
				lines = append(lines, trace.Line{At: at, Event: trace.EventReturn, Host: hostName((planned-1)*n + i)})
			}
			for ; lost < o.Lost[i][second]; lost++ {
				host := hostName((o.Declared/n-1-lost)*n + i)
				lines = append(lines,
					trace.Line{At: at, Event: trace.EventFault, Host: host, Mode: trace.ModeSilent},
					trace.Line{At: at, Event: trace.EventFault, Host: host, Mode: trace.ModeRefuse})
			}
		}
	}
	return lines
}

func hostName(i int) string { return "h" + strconv.Itoa(i+1) }

// With merges lines into a trace in order of time.
func With(t trace.Trace, lines []trace.Line) trace.Trace {
	t = append(slices.Clone(t), lines...)
	slices.SortStableFunc(t[1:], func(a, b trace.Line) int { return int(a.At - b.At) })
	return t
}
