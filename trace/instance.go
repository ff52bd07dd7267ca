package trace

import (
	"time"

	"cuminstair.org/cuminstair"
)

// instance models an upstream: it runs as many requests at once as it has real slots and queues the others in the order
// in which they came. It goes on with a request that its caller has given up.
type instance struct {
	up      cuminstair.Upstream
	real    int
	running int
	queue   []*attempt
	mode    string
	factor  float64 // on service times
	silent  int     // established connections that went silent and are still in use
	leaving bool
}

// attempt is one request on its way at an upstream.
type attempt struct {
	call  *call
	inst  *instance
	pick  cuminstair.Pick
	d     *daemon
	at    time.Time
	sent  int  // position in Player.sent
	mute  bool // on a silent connection
	ended bool // the daemon has its result
	stop  func() bool
}

// breakAfter is how long a request is under way before its connection breaks.
const breakAfter = 5 * time.Millisecond

// send starts an attempt at the instance.
func (p *Player) send(a *attempt) {
	i := a.inst
	switch {
	case i.mode == ModeRefuse:
		p.after(0, func() {
			a.d.result(a, cuminstair.Result{
				Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonNoUpstream,
			})
		})
	case i.mode == ModeBreak:
		a.call.ran++
		p.after(breakAfter, func() {
			a.d.result(a, cuminstair.Result{
				Reason: cuminstair.ReasonBroken, Latency: breakAfter,
			})
		})
	case i.silent > 0:
		i.silent--
		a.mute = true
		p.watch(a)
	case i.running < i.real:
		p.run(a)
	default:
		i.queue = append(i.queue, a)
	}
}

func (p *Player) run(a *attempt) {
	i := a.inst
	i.running++
	a.call.ran++
	took := time.Duration(p.rand.ExpFloat64() * float64(p.took[a.call.req.Kind]) * max(i.factor, 1))
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
	if a.mute {
		return // the answer is lost
	}
	a.d.result(a, cuminstair.Result{
		Outcome: cuminstair.OutcomeDone,
		Reason:  cuminstair.ReasonOK,
		Latency: p.clock.Now().Sub(a.at),
		Leaving: i.leaving,
	})
}

// watch ends an attempt on a silent connection once it was quiet for longer than the upstream's tail latency: the check
// on a fresh connection is answered, so that the quiet one is closed.
func (p *Player) watch(a *attempt) {
	quiet := a.d.health.Quiet(a.inst.up.Host)
	p.after(max(quiet-p.clock.Now().Sub(a.at), 0), func() {
		a.d.result(a, cuminstair.Result{Reason: cuminstair.ReasonSilent, Latency: p.clock.Now().Sub(a.at)})
	})
}
