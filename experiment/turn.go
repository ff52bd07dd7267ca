package experiment

import (
	"math/rand/v2"
	"time"
)

// Turn describes how the demand of the queues turns. Every Interval another queue has its turn, in an order that is drawn
// for the day: its rate rises for Rise, stays at Peak times the mean, and falls for as long as it rose. Length is the time
// at half of the peak or more. Between turns the rate is Between times the mean. Without Interval all rates are steady.
type Turn struct {
	Interval float64 `json:"interval"` // seconds
	Length   float64 `json:"length"`   // seconds, at least Rise
	Rise     float64 `json:"rise"`     // seconds
	Peak     float64 `json:"peak"`
	Between  float64 `json:"between"`
}

func (t *Turn) valid() bool {
	return t.Interval >= 0 && t.Rise >= 0 && t.Length >= t.Rise && t.Peak >= t.Between && t.Between >= 0 &&
		(t.Interval > 0 || t.Length == 0)
}

// peak is a turn of a queue.
type peak struct {
	queue int
	from  float64 // seconds from the start of the traffic: its rate begins to rise
}

// drawPeaks draws the turns of a day. The first has begun at a random time.
func (d *day) drawPeaks(r *rand.Rand) {
	t := &d.load.Turn
	if t.Interval <= 0 {
		return
	}
	order := r.Perm(len(d.load.Queues))
	first := -t.Interval * r.Float64()
	for n := 0; ; n++ {
		from := first + float64(n)*t.Interval
		if from >= d.load.Seconds {
			return
		}
		d.peaks = append(d.peaks, peak{queue: order[n%len(order)], from: from})
	}
}

// end is the time at which the rate of a turn has fallen.
func (t *Turn) end(p peak) float64 { return p.from + t.Length + t.Rise }

// height returns how high a turn is at a time, from 0 to 1.
func (t *Turn) height(p peak, at float64) float64 {
	since, left := at-p.from, t.end(p)-at
	switch {
	case since < 0 || left < 0:
		return 0
	case since >= t.Rise && left >= t.Rise:
		return 1
	}
	return min(since, left) / t.Rise
}

// factor returns the rate of queue i at a time as a multiple of its mean.
func (d *day) factor(i int, at float64) float64 {
	burst := 1.0
	for _, b := range d.load.Bursts {
		if b.Queue == d.load.Queues[i].Name && at >= b.At && at < b.At+b.Seconds {
			burst *= b.Factor
		}
	}
	return burst * d.turnFactor(i, at)
}

// greatestFactor returns a bound of factor for queue i.
func (d *day) greatestFactor(i int) float64 {
	most := max(1, d.load.Turn.Peak)
	for _, b := range d.load.Bursts {
		if b.Queue == d.load.Queues[i].Name {
			most *= b.Factor
		}
	}
	return most
}

func (d *day) turnFactor(i int, at float64) float64 {
	t := &d.load.Turn
	if t.Interval <= 0 {
		return 1
	}
	high := 0.0
	for _, p := range d.peaks {
		if p.queue == i {
			high = max(high, t.height(p, at))
		}
	}
	return t.Between + high*(t.Peak-t.Between)
}

// turnPhase is where a queue is between its turns.
type turnPhase uint8

const (
	betweenTurns turnPhase = iota
	beforeTurn             // its rate begins to rise within turnAhead
	inRise
	inTurn // after the rise
)

// turnAhead is how long before a turn an idle host counts as held for it, in seconds.
const turnAhead = 2.5

// phase returns where queue i is at a time. Without turns a queue is always in its turn.
func (d *day) phase(i int, at time.Time) turnPhase {
	t := &d.load.Turn
	if t.Interval <= 0 {
		return inTurn
	}
	x := at.Sub(begin).Seconds()
	phase := betweenTurns
	for _, p := range d.peaks {
		switch {
		case p.queue != i || x >= t.end(p) || x < p.from-turnAhead:
		case x < p.from:
			phase = max(phase, beforeTurn)
		case x < p.from+max(t.Rise, windowLength.Seconds()):
			phase = max(phase, inRise)
		default:
			phase = inTurn
		}
	}
	return phase
}
