package fleettest

import (
	"slices"
	"strconv"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/trace"
)

// Outage records how many instances of one service are unavailable in each second because of a wave or the loss of a
// rack.
type Outage struct {
	// Planned and Lost count, by data centre and second, the instances that planned work or a failure has taken.
	// Instances that spare hosts replace are subtracted from Planned.
	Planned, Lost [][]int
	Declared      int    // instances that the fleet file declares
	Breach        string // the first account that exceeded its budget; empty if none did
}

// Record runs the world for some seconds and at second loseAt fails a rack of the service in the data centre with the
// most unavailable instances.
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
			a := w.Budgets.Account(service, c)
			lost := a.Unavailable - a.Planned
			o.Lost[i] = append(o.Lost[i], lost)
			o.Planned[i] = append(o.Planned[i], max(a.Net()-lost, 0))
			o.Declared += a.Declared
		}
	}
	return o
}

// loseRackOf fails the first rack with an active instance in the data centre with the most unavailable instances.
func (w *World) loseRackOf(service, pool string, centres []string) {
	worst := centres[0]
	for _, c := range centres {
		if w.Budgets.Account(service, c).Net() > w.Budgets.Account(service, worst).Net() {
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

// breach returns the first account that exceeds its budget.
func (w *World) breach() string {
	for _, s := range w.Budgets.Services() {
		for _, c := range append([]string{budget.Fleet}, w.Centres...) {
			if a := w.Budgets.Account(s, c); !a.Within() {
				return a.String()
			}
		}
	}
	return ""
}

// Fits returns the share of the demand that the remaining instances can serve, as a mean over the seconds [from, to).
// demand is a fraction of the capacity of all declared instances.
func (o Outage) Fits(from, to int, demand float64) float64 {
	if o.Declared == 0 {
		return 1
	}
	sum := 0.0
	for second := from; second < to; second++ {
		unavailable := 0
		for i := range o.Planned {
			unavailable += o.Planned[i][second] + o.Lost[i][second]
		}
		sum += min(1, (1-float64(unavailable)/float64(o.Declared))/demand)
	}
	return sum / float64(to-from)
}

// Lines returns the outage as trace lines. A trace assigns its hosts to the data centres round robin. Planned work
// takes the first hosts of a data centre, failures the last ones. A host whose drain is cancelled returns. A lost host
// responds on no connection, neither established nor new.
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

// Merge merges lines into a trace in order of time.
func Merge(t trace.Trace, lines []trace.Line) trace.Trace {
	t = append(slices.Clone(t), lines...)
	slices.SortStableFunc(t[1:], func(a, b trace.Line) int { return int(a.At - b.At) })
	return t
}
