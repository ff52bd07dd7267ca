package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// Intervals and limits of a runner.
const (
	// commitRetry is the pause before a write without an answer is sent again.
	commitRetry = 200 * time.Millisecond
	// storeDownAfter is how long writes fail before new work is refused at once.
	storeDownAfter = 700 * time.Millisecond
	// A write without an answer is sent again after hedgeFactor times the usual latency, at least hedgeMinDelay. This
	// happens up to maxHedges times with doubled pauses, since each attempt adds load to the store.
	hedgeMinDelay = 400 * time.Millisecond
	hedgeFactor   = 4
	maxHedges     = 2
	// offerAfter is how long writes fail before the service is offered to other daemons, and offerInterval the minimum
	// time between offers.
	offerAfter    = 600 * time.Millisecond
	offerInterval = 500 * time.Millisecond
	// writeSilentAfter is how long a write has no answer before it counts as failing.
	writeSilentAfter = 1200 * time.Millisecond
	// stepInterval is the minimum time between two steps; events in between are batched. The cost of a step grows with
	// the number of workers, and so does the interval.
	stepInterval          = 2 * time.Millisecond
	stepIntervalPerWorker = 50 * time.Microsecond
	// eventQueueSize bounds the events that wait for the runner.
	eventQueueSize = 1024
)

// errNoAnswer means that the store has not answered a write within writeSilentAfter.
const errNoAnswer = errors.ConstError("the store has not answered a write")

// runner carries out the decisions for one service that this daemon owns. Only its goroutine uses state and the fields
// below it.
type runner struct {
	d           *Daemon
	id          string // unique among all runners
	service     string
	token       uint64 // fencing token: version of the owner record at the takeover
	takenAt     time.Time
	hadOwner    bool // there was an earlier owner, whose leases may still be valid
	events      chan func(now time.Time)
	closed      atomic.Bool // takes no new calls
	done        chan struct{}
	stepPlanned atomic.Bool     // a timer for the next step is set
	openJobs    atomic.Int64    // jobs that have not ended
	counted     dispatch.Counts // counters already added to the metrics
	lastStep    time.Time
	state       *dispatch.Service
	config      *cuminstair.JobConfig // whose client accounts state has

	owner          ownership.Owner // as last written, or being written
	earlierStopped bool            // earlier owners give no more orders
	version        uint64          // of the owner record
	confirmedAt    time.Time       // when the store last named this daemon as the owner
	inflight       *dispatch.Batch
	sentTx         cuminstair.Tx
	failingSince   time.Time         // when writes began to fail; zero: they succeed
	latency        time.Duration     // moving mean of the store's write latency; a rise takes effect at once
	hedges         int               // times that inflight was sent again before an answer
	uncertain      bool              // an attempt to write inflight may have taken effect
	retryAt        time.Time         // when the next batch may be sent
	sentAt         time.Time         // when inflight was first sent
	wroteAt        time.Time         // when the last batch that was stored was sent
	alive          time.Time         // see aliveAt
	offered        bool              // another daemon may take the service over since it was offered
	offeredAt      time.Time         // when the service was last offered to another daemon
	offeredSeq     int64             // owner.Seq at that time; a stored write with a higher one makes the offer void
	onRelease      []func()          // called when the runner ends
	checked        map[string]string // by job: present service of its queue that was found not to have the job; used by reconcileAssignments only
	ended          bool
}

func newRunner(d *Daemon, service string, token uint64, owner ownership.Owner, hadOwner bool) *runner {
	now := d.Timer.Now()
	s := dispatch.New(service, int64(token), now, d.Log)
	s.Bounds, s.Grace, s.Adviser = d.Settings.Bounds, ownerGrace, d.Adviser != nil
	if hadOwner {
		s.EarlierOwnerGrace = ownerGrace
	}
	id := d.runID + "." + strconv.FormatUint(d.runnersMade.Add(1), 10)
	return &runner{
		d: d, id: id, service: service, token: token, takenAt: now, hadOwner: hadOwner, state: s, owner: owner, version: token,
		earlierStopped: !owner.Unsettled, confirmedAt: now, events: make(chan func(time.Time), eventQueueSize), done: make(chan struct{}),
	}
}

func (r *runner) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	stop := r.d.Timer.Every(tickInterval, func(time.Time) {
		select {
		case r.events <- func(time.Time) {}:
		default: // events are queued, so a step will follow
		}
	})
	go func() {
		defer close(r.done)
		defer cancel()
		defer stop()
		r.loop(ctx)
	}()
}

// post queues an event for the runner. It returns false if the runner has ended.
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
			n := len(r.events) // those that are queued by now
			now := r.d.Timer.Now()
			fn(now)
			for ; n > 0; n-- {
				(<-r.events)(now)
			}
			gap := max(stepInterval, time.Duration(r.state.Workers())*stepIntervalPerWorker)
			if wait := gap - now.Sub(r.lastStep); wait > 0 && !r.state.Deposed() {
				r.planStep(wait)
				continue
			}
			r.lastStep = now
			r.step(ctx, now)
		}
	}
}

// planStep makes the runner take a step after a time, unless one is planned already.
func (r *runner) planStep(wait time.Duration) {
	if !r.stepPlanned.CompareAndSwap(false, true) {
		return
	}
	r.d.Timer.After(wait, func(time.Time) {
		r.stepPlanned.Store(false)
		select {
		case r.events <- func(time.Time) {}:
		default: // events are queued, so a step will follow
		}
	})
}

// step sends the orders and writes the records that are due.
func (r *runner) step(ctx context.Context, now time.Time) {
	if r.state.Deposed() {
		r.end("deposed")
		return
	}
	if r.service != ownership.HostsPart {
		r.openJobs.Store(int64(r.state.Open()))
		counts := r.state.Counts()
		r.d.Metrics.countEvents(r.counted, counts)
		r.counted = counts
		r.state.SetAlive(r.aliveAt())
		r.followConfig()
		for _, o := range r.state.Decide(now, r.confirmedAt) {
			go r.execute(ctx, o)
		}
		if r.state.ListDue(now) {
			signal(r.d.listNow)
		}
		r.state.SetStoreDown(!r.failingSince.IsZero() && now.Sub(r.failingSince) > storeDownAfter)
		r.state.SetWriteLatency(r.writeLatency(now))
		r.state.AnswerLate(now, r.inflight)
		if r.inflight != nil && r.failingSince.IsZero() && now.Sub(r.sentAt) > writeSilentAfter {
			r.writeFailed(r.sentAt, errNoAnswer)
		}
		if !r.failingSince.IsZero() && now.Sub(r.failingSince) > offerAfter && now.Sub(r.offeredAt) > offerInterval && r.d.storeUnavailable() {
			r.offeredAt, r.offeredSeq, r.offered = now, r.owner.Seq, true
			go r.d.offerService(ctx, offerRequest{Service: r.service, Run: r.d.runID, Seq: r.owner.Seq})
		}
		r.sendBatch(ctx, now)
	}
	if r.inflight == nil && len(r.onRelease) > 0 {
		r.release(ctx)
	}
}

// followConfig passes the client accounts of the configuration in force to the service state.
func (r *runner) followConfig() {
	if c := r.d.config.Load(); c != r.config {
		r.config = c
		r.state.SetAccounts(c.Accounts)
	}
}

// aliveAt returns the time of a write of this daemon after which other daemons take it for alive and none can have taken the
// service over before, or the zero time. A write of the service fails if there is another owner. Another write, such as a
// heartbeat, counts only without a gap since the last one that counts, or if the store has named this owner after it; after an
// offer of the service none counts until a write has made the offer void.
func (r *runner) aliveAt() time.Time {
	if r.wroteAt.After(r.alive) {
		r.alive = r.wroteAt
	}
	if r.offered {
		return time.Time{}
	}
	at := r.d.wroteAt.Load()
	if at != nil && at.After(r.alive) && (at.Sub(r.alive) < dispatch.AliveTime || !r.confirmedAt.Before(*at)) {
		r.alive = *at
	}
	return r.alive
}

// end stops the runner; waiting callers are told that the outcome of their calls is unknown.
func (r *runner) end(why string) {
	if r.ended {
		return
	}
	r.ended = true
	r.closed.Store(true)
	r.state.Depose(why)
	r.state.AnswerAll()
	for _, fn := range r.onRelease {
		fn()
	}
	r.onRelease = nil
	r.d.mu.Lock()
	if r.d.runners[r.service] == r {
		delete(r.d.runners, r.service)
	}
	r.d.mu.Unlock()
	r.d.Log.Info("entry: service is no longer served here", "service", r.service, "token", r.token, "why", why)
	signal(r.d.readOwnersNow)
}

// execute sends one order and passes the answer to the service state.
func (r *runner) execute(ctx context.Context, o dispatch.Order) {
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
	case dispatch.OrderRenew:
		var report cuminstair.WorkerReport
		report, err = w.Hold(ctx, o.Worker, o.Lease, o.Token, o.Seen, o.Wait)
		r.post(func(now time.Time) { r.state.Renewed(now, begin, o.Worker.ID, report, err) })
	case dispatch.OrderAdvise:
		r.advise(ctx, begin, o)
		return
	case dispatch.OrderPace:
		if err = w.Pace(ctx, o.Worker, o.Task, o.Run, o.Percent, o.Token); err != nil {
			r.d.Log.Debug("entry: can't set the CPU share of a best-effort task", "service", r.service, "worker", o.Worker.ID, "error", err)
		}
		r.post(func(time.Time) { r.state.Paced(o, err) })
	}
	r.d.Metrics.observeWorkerCall(o.Kind, err, r.d.Timer.Now().Sub(begin))
}

// advise asks the adviser and passes its answer to the service state.
func (r *runner) advise(ctx context.Context, begin time.Time, o dispatch.Order) {
	tickets, validity, err := r.d.Adviser.Advise(ctx, o.Advise.Step, o.Advise.Workers)
	r.post(func(now time.Time) { r.state.Advised(now, begin, o, tickets, validity, err) })
	r.d.Metrics.observeWorkerCall(o.Kind, err, r.d.Timer.Now().Sub(begin))
}

// confirm records that the store named this daemon as the owner in answer to a request sent at sent.
func (r *runner) confirm(sent time.Time) {
	r.post(func(time.Time) { r.setConfirmed(sent) })
}

func (r *runner) setConfirmed(sent time.Time) {
	if sent.After(r.confirmedAt) {
		r.confirmedAt = sent
	}
}

// earlierOwnersStopped records that no earlier owner gives orders any more.
func (r *runner) earlierOwnersStopped(now time.Time) {
	r.earlierStopped = true
	r.state.EarlierOwnerStopped(now)
}

// unsettled reports whether earlier owners may still give orders.
func (r *runner) unsettled(now time.Time) bool {
	return !r.earlierStopped && now.Sub(r.takenAt) < ownerGrace
}

func (r *runner) depose(why string) {
	go r.post(func(time.Time) { r.state.Depose(why) })
}

func (r *runner) setWorkers(sent time.Time, list []cuminstair.WorkerInfo) {
	r.post(func(now time.Time) {
		r.state.SetWorkers(now, list)
		r.state.SetListRead(sent)
	})
}

// handOver stops new orders, waits for the write in flight and releases the owner record.
func (r *runner) handOver(ctx context.Context) {
	r.closed.Store(true)
	released := make(chan struct{})
	if !r.post(func(time.Time) {
		r.state.Stopping()
		r.onRelease = append(r.onRelease, func() { close(released) })
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

// release writes an owner record without a name and ends the runner.
func (r *runner) release(ctx context.Context) {
	o := ownership.Owner{Seq: r.owner.Seq + 1, Unsettled: r.unsettled(r.d.Timer.Now())}
	if _, _, err := r.d.writeOwner(ctx, r.service, r.version, o); err != nil {
		r.d.Log.Warn("entry: owner record was not released", "service", r.service, "error", err)
	}
	r.end("handed over")
}
