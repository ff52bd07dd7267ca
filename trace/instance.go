package trace

import (
	"time"

	"cuminstair.org/cuminstair"
)

// instance models an upstream. It runs as many requests at once as it has real slots and queues the others first in,
// first out. It finishes a request even if its caller has cancelled it.
type instance struct {
	up          cuminstair.Upstream
	real        int // actual slots
	running     int
	queue       []*attempt
	mode        string
	factor      float64 // multiplies service times
	silentConns int     // idle connections that have stopped responding; the next requests are sent on them
	leaving     bool
}

// attempt is one request sent to an upstream.
type attempt struct {
	call      *call
	inst      *instance
	pick      cuminstair.Pick
	d         *daemon
	sentAt    time.Time
	sentIndex int  // index in Player.attempts
	silent    bool // sent on a silent connection
	ended     bool // the daemon has its result
	stopTimer func() bool
}

// breakAfter is the time from sending a request until its connection breaks in ModeBreak.
const breakAfter = 5 * time.Millisecond

// send starts an attempt at the instance.
func (p *Player) send(a *attempt) {
	i := a.inst
	switch {
	case i.mode == ModeRefuse:
		p.after(0, func() {
			a.d.handleResult(a, cuminstair.Result{
				Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonNoUpstream,
			})
		})
	case i.mode == ModeBreak:
		a.call.starts++
		p.after(breakAfter, func() {
			a.d.handleResult(a, cuminstair.Result{
				Reason: cuminstair.ReasonBroken, Latency: breakAfter,
			})
		})
	case i.silentConns > 0:
		i.silentConns--
		a.silent = true
		p.timeoutSilent(a)
	case i.running < i.real:
		p.run(a)
	default:
		i.queue = append(i.queue, a)
	}
}

func (p *Player) run(a *attempt) {
	i := a.inst
	i.running++
	a.call.starts++
	took := time.Duration(p.rand.ExpFloat64() * float64(p.serviceTimes[a.call.req.Kind]) * max(i.factor, 1))
	p.after(max(took, time.Microsecond), func() { p.complete(a) })
}

func (p *Player) complete(a *attempt) {
	i := a.inst
	i.running--
	if len(i.queue) > 0 {
		next := i.queue[0]
		i.queue = i.queue[1:]
		p.run(next)
	}
	if a.silent {
		return // the answer is lost; timeoutSilent ends the attempt
	}
	a.d.handleResult(a, cuminstair.Result{
		Outcome: cuminstair.OutcomeDone,
		Reason:  cuminstair.ReasonOK,
		Latency: p.clock.Now().Sub(a.sentAt),
		Leaving: i.leaving,
	})
}

// timeoutSilent ends an attempt on a silent connection after the time that health.Monitor.ProbeAfter returns. The daemon
// then checks the upstream on a new connection. The model assumes that this check succeeds, so the daemon closes the
// silent connection.
func (p *Player) timeoutSilent(a *attempt) {
	quiet := a.d.health.ProbeAfter(a.inst.up.Host)
	p.after(max(quiet-p.clock.Now().Sub(a.sentAt), 0), func() {
		a.d.handleResult(a, cuminstair.Result{Reason: cuminstair.ReasonSilent, Latency: p.clock.Now().Sub(a.sentAt)})
	})
}
