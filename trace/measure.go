package trace

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Measure names a statistic over the requests or picks of an interval.
type Measure string

// Measures. Shares are between 0 and 1; times are in seconds.
const (
	MeasureOffered Measure = "offered" // requests that ended, without cancelled ones
	MeasureKept    Measure = "kept"    // share of the requests completed on time, without cancelled ones
	MeasureDone    Measure = "done"    // requests completed on time
	MeasureUnknown Measure = "unknown" // share of the requests that ended as unknown, without cancelled ones
	MeasureRefused Measure = "refused" // share of the requests that ended as not run, without cancelled ones
	MeasureP50     Measure = "p50"     // median time from arrival to response
	MeasureP99     Measure = "p99"     // 99th percentile of the time from arrival to response
	MeasureSent50  Measure = "sent50"  // median time from the pick to the response of the upstream
	MeasureSent99  Measure = "sent99"  // 99th percentile of the time from the pick to the response of the upstream
	MeasurePicks   Measure = "picks"   // attempts sent
	MeasureOver    Measure = "over"    // share of the picks that exceeded the real slots of the instance
	MeasureRetries Measure = "retries" // retries per first attempt
	MeasureTwice   Measure = "twice"   // non-idempotent requests that ran more than once, over the whole trace
	MeasureFalse   Measure = "false"   // requests that ran but ended as not run, over the whole trace
	MeasureLeaked  Measure = "leaked"  // slots, queue places and requests that did not end; only meaningful after Play
)

func (m Measure) known() bool {
	return slices.Contains([]Measure{
		MeasureOffered, MeasureKept, MeasureDone, MeasureUnknown, MeasureRefused, MeasureP50, MeasureP99, MeasureSent50,
		MeasureSent99, MeasurePicks, MeasureOver, MeasureRetries, MeasureTwice, MeasureFalse, MeasureLeaked,
	}, m)
}

// sentAttempt records one attempt for the measures.
type sentAttempt struct {
	at        time.Duration
	kind      string
	host      string
	retry     bool
	overSlots bool
	latency   time.Duration // 0 if there was no response
}

// Value returns a measure over the requests that arrived, or the attempts that were sent, in the interval [from, to).
// Unless kind is empty, only that kind is included. Unless host is empty, a measure of attempts includes only those to
// that host.
// MeasureTwice, MeasureFalse and MeasureLeaked always cover all requests.
func (p *Player) Value(m Measure, kind, host string, from, to time.Duration) float64 {
	switch m {
	case MeasureTwice, MeasureFalse:
		return p.violations(m)
	case MeasureLeaked:
		return float64(p.leaked())
	case MeasurePicks, MeasureOver, MeasureRetries, MeasureSent50, MeasureSent99:
		return p.picksValue(m, kind, host, from, to)
	default:
		return p.callsValue(m, kind, from, to)
	}
}

func (p *Player) violations(m Measure) float64 {
	n := 0
	for _, c := range p.calls {
		twice := m == MeasureTwice && !c.req.Idempotent && c.starts > 1
		wrong := m == MeasureFalse && c.ended && c.outcome == cuminstair.OutcomeNotRun && c.starts > 0
		if twice || wrong {
			n++
		}
	}
	return float64(n)
}

func (p *Player) callsValue(m Measure, kind string, from, to time.Duration) float64 {
	var offered, onTime, unknown, refused int
	var times []time.Duration
	for _, c := range p.calls {
		at := c.req.Arrived.Sub(p.start)
		if !c.ended || c.cancelled || at < from || at >= to || (kind != "" && c.req.Kind != kind) {
			continue
		}
		offered++
		switch c.outcome {
		case cuminstair.OutcomeDone:
			onTime++
			times = append(times, c.endedAt.Sub(c.req.Arrived))
		case cuminstair.OutcomeNotRun:
			refused++
		default:
			unknown++
		}
	}
	switch m {
	case MeasureOffered:
		return float64(offered)
	case MeasureDone:
		return float64(onTime)
	case MeasureKept:
		return ratio(onTime, offered)
	case MeasureUnknown:
		return ratio(unknown, offered)
	case MeasureRefused:
		return ratio(refused, offered)
	case MeasureP50:
		return quantile(times, 0.5)
	default:
		return quantile(times, 0.99)
	}
}

func (p *Player) picksValue(m Measure, kind, host string, from, to time.Duration) float64 {
	var picks, over, retries int
	var times []time.Duration
	for _, s := range p.attempts {
		if s.at < from || s.at >= to || (kind != "" && s.kind != kind) || (host != "" && s.host != host) {
			continue
		}
		picks++
		if s.overSlots {
			over++
		}
		if s.retry {
			retries++
		}
		if s.latency > 0 {
			times = append(times, s.latency)
		}
	}
	switch m {
	case MeasurePicks:
		return float64(picks)
	case MeasureOver:
		return ratio(over, picks)
	case MeasureRetries:
		return ratio(retries, picks-retries)
	case MeasureSent50:
		return quantile(times, 0.5)
	default:
		return quantile(times, 0.99)
	}
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// quantile returns a quantile in seconds, or 0 if there are no times.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Seconds()
}
