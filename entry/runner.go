package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// Times of a runner.
const (
	// commitRetry is the pause before a write without an answer is sent again.
	commitRetry = 200 * time.Millisecond
	// downAfter is how long writes fail until new work is refused at once.
	downAfter = 700 * time.Millisecond
	// hedgeLeast and hedgeFactor times the usual time of an answer is when a write is sent once more, hedgeMost times with
	// doubled pauses: each sending takes its turn in the store.
	hedgeLeast  = 400 * time.Millisecond
	hedgeFactor = 4
	hedgeMost   = 2
	// giveAwayAfter is how long writes fail until another daemon is asked to take the service.
	giveAwayAfter = 600 * time.Millisecond
	giveAwayAgain = 500 * time.Millisecond
	// silentAfter is how long a write is under way until it counts as failing.
	silentAfter = 1200 * time.Millisecond
	// stepGap is the least time between two decisions, in which events are taken together. The cost of a decision grows
	// with the number of workers, and so does the gap.
	stepGap          = 2 * time.Millisecond
	stepGapPerWorker = 50 * time.Microsecond
	// eventsQueued bounds the events that wait for the runner.
	eventsQueued = 1024
)

// errSilent means that a write has no answer yet.
const errSilent = errors.ConstError("no answer yet")

// runner drives the decisions about one service. Only its goroutine touches state and the fields below it.
type runner struct {
	d       *Daemon
	service string
	token   uint64
	taken   time.Time
	after   bool // there was an owner before, whose leases may run on
	events  chan func(now time.Time)
	closed  atomic.Bool // it takes no new calls
	done    chan struct{}
	waking  atomic.Bool     // a decision is planned
	open    atomic.Int64    // jobs that are not over
	counted dispatch.Counts // events that are in the metrics
	stepped time.Time       // when the last decision was made
	state   *dispatch.Service

	owner     ownership.Owner
	version   uint64 // of the owner record
	confirmed time.Time
	inflight  *dispatch.Batch
	sentTx    cuminstair.Tx
	failing   time.Time     // since when writes fail; zero: they don't
	latency   time.Duration // moving mean of the answers of the store, which follows a rise at once
	hedges    int           // times that it was sent again without waiting
	maybe     bool          // a sending of it had no answer
	again     time.Time     // when the next batch may be sent
	sentAt    time.Time     // when the batch under way was sent first
	offered   time.Time     // when the service was last offered to another daemon
	releasing []func()      // called when the owner record is released
	ended     bool
}

func newRunner(d *Daemon, service string, token uint64, owner ownership.Owner, after bool) *runner {
	now := d.Timer.Now()
	s := dispatch.New(service, int64(token), now, d.Log)
	s.Bounds, s.Grace, s.Adviser = d.Settings.Bounds, storeGrace, d.Adviser != nil
	if after {
		s.Challenge = storeGrace
	}
	return &runner{
		d: d, service: service, token: token, taken: now, after: after, state: s, owner: owner, version: token,
		confirmed: now, events: make(chan func(time.Time), eventsQueued), done: make(chan struct{}),
	}
}

func (r *runner) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	stop := r.d.Timer.Every(tickEvery, func(time.Time) {
		select {
		case r.events <- func(time.Time) {}:
		default: // the runner is awake
		}
	})
	go func() {
		defer close(r.done)
		defer cancel()
		defer stop()
		r.loop(ctx)
	}()
}

// post hands an event to the runner. It returns false if the runner has ended.
func (r *runner) post(fn func(now time.Time)) bool {
	select {
	case r.events <- fn:
		return true
	case <-r.done:
		return false
	}
}

func (r *runner) loop(ctx context.Context) {
	for !r.ended {
		select {
		case <-ctx.Done():
			r.end("the daemon stops")
			return
		case fn := <-r.events:
			now := r.d.Timer.Now()
			fn(now)
			for n := len(r.events); n > 0; n-- {
				(<-r.events)(now)
			}
			gap := max(stepGap, time.Duration(r.state.Workers())*stepGapPerWorker)
			if wait := gap - now.Sub(r.stepped); wait > 0 && !r.state.Deposed() {
				r.wakeIn(wait)
				continue
			}
			r.stepped = now
			r.step(ctx, now)
		}
	}
}

// wakeIn makes the runner decide after a time, unless that is planned already.
func (r *runner) wakeIn(wait time.Duration) {
	if !r.waking.CompareAndSwap(false, true) {
		return
	}
	r.d.Timer.After(wait, func(time.Time) {
		r.waking.Store(false)
		select {
		case r.events <- func(time.Time) {}:
		default: // the runner is awake
		}
	})
}

// step gives the orders and writes the records that are due.
func (r *runner) step(ctx context.Context, now time.Time) {
	if r.state.Deposed() {
		r.end("deposed")
		return
	}
	if r.service != ownership.HostsPart {
		r.open.Store(int64(r.state.Open()))
		counts := r.state.Counts()
		r.d.Metrics.events(r.counted, counts)
		r.counted = counts
		for _, o := range r.state.Decide(now, r.confirmed) {
			go r.carryOut(ctx, o)
		}
		r.state.SetStore(!r.failing.IsZero() && now.Sub(r.failing) > downAfter)
		r.state.AnswerLate(now, r.inflight)
		if r.inflight != nil && r.failing.IsZero() && now.Sub(r.sentAt) > silentAfter {
			r.failed(r.sentAt, errSilent)
		}
		if !r.failing.IsZero() && now.Sub(r.failing) > giveAwayAfter && now.Sub(r.offered) > giveAwayAgain && r.d.storeRefuses() {
			r.offered = now
			go r.d.giveAway(ctx, r.service)
		}
		r.write(ctx, now)
	}
	if r.inflight == nil && len(r.releasing) > 0 {
		r.release(ctx)
	}
}

// end stops the runner; callers that wait learn that the fate of their calls is unknown.
func (r *runner) end(why string) {
	if r.ended {
		return
	}
	r.ended = true
	r.closed.Store(true)
	r.state.Depose(why)
	r.state.AnswerAll()
	for _, fn := range r.releasing {
		fn()
	}
	r.releasing = nil
	r.d.mu.Lock()
	if r.d.runners[r.service] == r {
		delete(r.d.runners, r.service)
	}
	r.d.mu.Unlock()
	r.d.Log.Info("entry: service is no longer served here", "service", r.service, "token", r.token, "why", why)
	signal(r.d.poke)
}

// carryOut sends one order and hands the answer back.
func (r *runner) carryOut(ctx context.Context, o dispatch.Order) {
	begin := r.d.Timer.Now()
	w := r.d.Workers
	var err error
	switch o.Kind {
	case dispatch.OrderStart:
		var clock time.Duration
		clock, err = w.Start(ctx, o.Worker, o.Start)
		r.post(func(now time.Time) { r.state.Started(now, o, clock, err) })
	case dispatch.OrderStop:
		err = w.Stop(ctx, o.Worker, o.Task, o.Run, o.Token)
		r.post(func(now time.Time) { r.state.Stopped(now, o, err) })
	case dispatch.OrderHold:
		var report cuminstair.WorkerReport
		report, err = w.Hold(ctx, o.Worker, o.Lease, o.Token, o.Seen, o.Wait)
		r.post(func(now time.Time) { r.state.Held(now, begin, o.Worker.ID, report, err) })
	case dispatch.OrderAdvise:
		r.advise(ctx, begin, o)
		return
	case dispatch.OrderPace:
		if err = w.Pace(ctx, o.Worker, o.Task, o.Run, o.Percent, o.Token); err != nil {
			r.d.Log.Debug("entry: best-effort task was not paced", "service", r.service, "worker", o.Worker.ID, "error", err)
		}
	}
	r.d.Metrics.worker(o.Kind, err, r.d.Timer.Now().Sub(begin))
}

// advise asks the adviser and hands its answer back.
func (r *runner) advise(ctx context.Context, begin time.Time, o dispatch.Order) {
	tickets, validity, err := r.d.Adviser.Advise(ctx, o.Advise.Step, o.Advise.Workers)
	r.post(func(now time.Time) { r.state.Advised(now, begin, o, tickets, validity, err) })
	r.d.Metrics.worker(o.Kind, err, r.d.Timer.Now().Sub(begin))
}

// confirm notes that the store named this daemon as the owner at sent.
func (r *runner) confirm(sent time.Time) {
	r.post(func(time.Time) { r.confirm0(sent) })
}

func (r *runner) confirm0(sent time.Time) {
	if sent.After(r.confirmed) {
		r.confirmed = sent
	}
}

func (r *runner) depose(why string) {
	go r.post(func(time.Time) { r.state.Depose(why) })
}

func (r *runner) setWorkers(list []cuminstair.WorkerInfo) {
	r.post(func(now time.Time) { r.state.SetWorkers(now, list) })
}

// handOver stops new orders, lets the write under way end and releases the owner record.
func (r *runner) handOver(ctx context.Context) {
	r.closed.Store(true)
	released := make(chan struct{})
	if !r.post(func(time.Time) {
		r.state.Stopping()
		r.releasing = append(r.releasing, func() { close(released) })
	}) {
		return
	}
	select {
	case <-released:
	case <-r.done:
	case <-ctx.Done():
		r.d.Log.Warn("entry: service was not released in time", "service", r.service)
	}
}

// release empties the owner record.
func (r *runner) release(ctx context.Context) {
	o := ownership.Owner{Seq: r.owner.Seq + 1}
	if _, err := r.d.writeOwner(ctx, r.service, r.version, o); err != nil {
		r.d.Log.Warn("entry: owner record was not released", "service", r.service, "error", err)
	}
	r.end("handed over")
}
