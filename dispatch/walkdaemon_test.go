package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Intervals and limits of the modelled daemons, as in package entry.
const (
	ownerGrace        = 6 * time.Second
	offerTime         = 2500 * time.Millisecond
	ownerReadInterval = 500 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	listInterval      = 300 * time.Millisecond
	hostsInterval     = 250 * time.Millisecond
	stopRetryInterval = 300 * time.Millisecond
	runnerTick        = 40 * time.Millisecond
	runnerGap         = 2 * time.Millisecond
	commitRetryPause  = 200 * time.Millisecond
	takeoverPause     = 150 * time.Millisecond
	storeTimeout      = 1500 * time.Millisecond
	ownerWriteLimit   = 900 * time.Millisecond
	hedgePause        = 400 * time.Millisecond
	peerLimit         = 500 * time.Millisecond
)

// daemon is a modelled daemon. A kill starts a new run of it.
type daemon struct {
	w          *walk
	name       string
	centre     int
	offset     time.Duration // of its clock
	run        int           // number of its start
	alive      bool
	frozen     bool
	queued     []func() // events that wait for the end of the freeze
	runner     *runner
	taking     bool
	newerOwner uint64    // highest token of an owner that told this daemon to stop
	wroteAt    time.Time // start of the last write that was stored, on the daemon's clock
	seen       ownerRow  // owner record as last read
	seenAt     uint64    // its version
	controller uint64    // token of the controller of limits, as read with it
	beats      map[string]heartbeat
	readAt     time.Time     // when the last successful read was sent; true time
	patience   time.Duration // after which it takes over from a silent owner
	readMore   bool          // a read in progress is followed by another at once
	reading    bool
	calls      openCalls
}

// do runs fn as an event of the daemon's present run.
func (d *daemon) do(run int, fn func()) {
	switch {
	case !d.alive || d.run != run:
	case d.frozen:
		d.queued = append(d.queued, fn)
	default:
		fn()
	}
}

// after runs fn in the daemon after a time.
func (d *daemon) after(t time.Duration, fn func()) {
	run := d.run
	d.w.sim.after(t, func() { d.do(run, fn) })
}

// now returns the time on the daemon's clock.
func (d *daemon) now() time.Time { return d.w.sim.now.Add(d.offset) }

// boot starts the daemon.
func (d *daemon) boot() {
	if d.alive {
		return
	}
	d.run++
	d.alive, d.frozen, d.queued, d.runner, d.taking, d.reading = true, false, nil, nil, false, false
	d.seen, d.seenAt, d.beats, d.readAt, d.wroteAt = ownerRow{}, 0, map[string]heartbeat{}, time.Time{}, time.Time{}
	d.newerOwner, d.calls, d.controller = 0, openCalls{}, 0
	d.patience = d.w.sim.between(800*time.Millisecond, 1700*time.Millisecond)
	d.w.note(d.name, "daemon starts", "number", d.run)
	d.beat()
	d.readLoop()
	d.listLoop()
	d.hostsLoop()
}

// kill ends the daemon without notice.
func (d *daemon) kill() {
	if !d.alive {
		return
	}
	d.w.note(d.name, "daemon killed")
	d.alive, d.frozen, d.queued = false, false, nil
	d.w.closed(d.runner)
	d.runner = nil
}

func (d *daemon) freeze(t time.Duration) {
	if !d.alive || d.frozen {
		return
	}
	d.w.note(d.name, "daemon frozen", "for", t)
	d.frozen = true
	run := d.run
	d.w.sim.after(t, func() {
		if d.run == run {
			d.thaw()
		}
	})
}

// thaw ends a freeze.
func (d *daemon) thaw() {
	if !d.alive || !d.frozen {
		return
	}
	d.w.note(d.name, "daemon goes on")
	d.frozen = false
	list := d.queued
	d.queued = nil
	for _, fn := range list {
		d.do(d.run, fn)
	}
}

// storeCall sends a request to the store: effect is run there at most once, answer in the daemon.
func (d *daemon) storeCall(limit time.Duration, effect func(), answer func(err error)) {
	w := d.w
	run := d.run
	answered := false
	reply := func(err error) {
		if !answered {
			answered = true
			d.do(run, func() { answer(err) })
		}
	}
	w.sim.after(limit, func() { reply(cuminstair.ErrUncertain) })
	delay := w.latency() + w.storeDelay()
	switch w.mode(d, "store", -1) {
	case linkRefused:
		w.sim.after(delay, func() { reply(cuminstair.ErrUnavailable) })
		return
	case linkCut:
		return
	case linkHeld:
		w.sim.after(w.sim.between(2*time.Second, 12*time.Second), effect)
		return
	default:
	}
	w.sim.after(delay, func() {
		effect()
		if w.mode(d, "store", -1) != linkOK {
			return
		}
		w.sim.after(w.latency(), func() { reply(nil) })
	})
}

func (d *daemon) beat() {
	b, name, sent := d.run, d.name, d.now()
	d.storeCall(storeTimeout, func() { d.w.store.beats[name] = heartbeat{run: b, at: d.w.sim.now} }, func(err error) {
		if err == nil {
			d.wroteAt = sent
		}
	})
	d.after(heartbeatInterval, d.beat)
}

// readLoop reads the owner record and the daemons' records regularly.
func (d *daemon) readLoop() {
	d.read(func() {
		pause := ownerReadInterval
		if d.readMore {
			d.readMore, pause = false, 0
		}
		d.after(pause, d.readLoop)
	})
}

func (d *daemon) read(then func()) {
	sent, sentTrue := d.now(), d.w.sim.now
	var o ownerRow
	var version uint64
	controller := uint64(0)
	beats := map[string]heartbeat{}
	d.storeCall(storeTimeout, func() {
		o, version = d.w.store.owner, d.w.store.ownerVersion
		if q := d.w.quotas; q != nil {
			controller = q.token
		}
		for k, v := range d.w.store.beats {
			beats[k] = v
		}
	}, func(err error) {
		if err == nil {
			d.seen, d.seenAt, d.beats, d.readAt, d.controller = o, version, beats, sentTrue, controller
			d.apply(sent)
		}
		then()
	})
}

// apply confirms or deposes the runner, and takes the service over if its owner is gone.
func (d *daemon) apply(sent time.Time) {
	mine := d.seen.name == d.name && d.seen.run == d.run
	if r := d.runner; r != nil {
		switch {
		case mine:
			r.post(func(time.Time) { r.setConfirmed(sent) })
		case d.seenAt > r.token:
			r.post(func(time.Time) { r.state.Depose("the store names another owner: " + d.seen.name) })
		}
		return
	}
	if d.taking || !d.w.mayTakeOver(d) {
		return
	}
	age := d.w.sim.now.Sub(d.beats[d.seen.name].at)
	if mine || d.seen.name == "" || d.beats[d.seen.name].run != d.seen.run || age > d.patience {
		d.takeOver()
	}
}

// takeOver writes the owner record, reads the records and starts a runner.
func (d *daemon) takeOver() {
	if d.taking || d.runner != nil || !d.alive {
		return
	}
	d.taking = true
	old, version := d.seen, d.seenAt
	sent := d.now()
	mine := ownerRow{name: d.name, run: d.run, seq: 1, unsettled: version > 0 && (old.name != "" || old.unsettled)}
	d.writeOwner(version, mine, func(token uint64, ok bool) {
		if !ok {
			d.taking = false
			d.readMore = true
			return
		}
		r := newRunner(d, token, mine, old.name != "" || version > 0)
		r.confirmedAt, r.alive = sent, sent
		d.w.note(d.name, "owner record written", "token", token, "before", old.name)
		d.w.tookOver(r)
		d.recover(r, func(ok bool) {
			d.taking = false
			if !ok || d.newerOwner > r.token {
				return
			}
			d.runner = r
			r.tick()
			r.step()
			if r.hadOwner {
				r.stopEarlier(old)
			}
		})
	})
}

// writeOwner writes the owner record until the outcome is known.
func (d *daemon) writeOwner(version uint64, o ownerRow, then func(version uint64, ok bool)) {
	var got commitResult
	d.storeCall(ownerWriteLimit, func() { got = d.w.store.commit(version, o, nil, nil) }, func(err error) {
		switch {
		case err == nil && !got.conflict:
			then(got.version, true)
		case err == nil && got.owner == o:
			then(got.at, true) // an earlier attempt of this write
		case err == nil, errors.Is(err, cuminstair.ErrUnavailable):
			then(0, false)
		default:
			d.after(takeoverPause, func() { d.writeOwner(version, o, then) })
		}
	})
}

// recover reads the records of the service and the list of workers.
func (d *daemon) recover(r *runner, then func(ok bool)) {
	var jobs, runs, workers []cuminstair.Record
	var list []cuminstair.WorkerInfo
	d.storeCall(storeTimeout, func() {
		s := d.w.store
		jobs, runs, workers = s.table(dispatch.JobTable), s.table(dispatch.RunTable), s.table(dispatch.WorkerTable)
		list = d.w.workerList()
	}, func(err error) {
		if err != nil {
			if d.seenAt > r.token && (d.seen.name != d.name || d.seen.run != d.run) {
				then(false)
				return
			}
			d.after(takeoverPause, func() { d.recover(r, then) })
			return
		}
		now := d.now()
		r.state.Recover(now, jobs, runs, workers)
		if len(list) == 0 {
			then(true)
			return
		}
		r.state.SetWorkers(now, list)
		d.readHosts(func(sent time.Time, hosts []cuminstair.HostRecord) { r.state.SetHosts(d.now(), sent, hosts) }, func() { then(true) })
	})
}

// listLoop passes the list of workers to the runner.
func (d *daemon) listLoop() {
	next := func() { d.after(listInterval, d.listLoop) }
	if d.runner == nil {
		next()
		return
	}
	d.readList(next)
}

func (d *daemon) readList(then func()) {
	var list []cuminstair.WorkerInfo
	d.storeCall(storeTimeout, func() { list = d.w.workerList() }, func(err error) {
		d.after(d.w.sim.between(0, d.w.listAge), func() {
			if r := d.runner; err == nil && r != nil {
				r.post(func(now time.Time) { r.state.SetWorkers(now, list) })
			}
			then()
		})
	})
}

// hostsLoop reads the list of hosts while the runner needs it.
func (d *daemon) hostsLoop() {
	next := func() { d.after(hostsInterval, d.hostsLoop) }
	r := d.runner
	if r == nil || r.ended || !r.state.NeedsHosts() {
		next()
		return
	}
	d.readHosts(func(sent time.Time, hosts []cuminstair.HostRecord) {
		r.post(func(now time.Time) { r.state.SetHosts(now, sent, hosts) })
	}, next)
}

// readHosts reads the list of hosts, which may be older than the request.
func (d *daemon) readHosts(got func(sent time.Time, hosts []cuminstair.HostRecord), then func()) {
	sent := d.now()
	if d.w.mode(d, "hosts", -1) != linkOK {
		d.after(storeTimeout, then)
		return
	}
	d.after(d.w.latency(), func() {
		hosts := d.w.hostList()
		d.after(d.w.latency(), func() {
			got(sent, hosts)
			then()
		})
	})
}

// runner drives a dispatch.Service as package entry does.
type runner struct {
	d           *daemon
	state       *dispatch.Service
	token       uint64
	takenAt     time.Time // on the daemon's clock
	hadOwner    bool
	settled     bool
	alive       time.Time // see entry
	wroteAt     time.Time // start of the last batch that was stored
	offeredAt   time.Time // another daemon may take the service over since then
	owner       ownerRow
	version     uint64
	confirmedAt time.Time
	inflight    *dispatch.Batch
	uncertain   bool
	hedges      int
	retryAt     time.Time
	failing     time.Time
	lastStep    time.Time // true time
	planned     bool
	releasing   bool // a release was asked for
	writing     bool // the release is being written
	onEnd       []func()
	ended       bool
}

func newRunner(d *daemon, token uint64, owner ownerRow, hadOwner bool) *runner {
	now := d.now()
	r := &runner{d: d, token: token, takenAt: now, hadOwner: hadOwner, settled: !owner.unsettled, owner: owner, version: token, confirmedAt: now}
	s := dispatch.New("s", int64(token), now, walkLog{Logger: hclog.NewNullLogger(), w: d.w, who: fmt.Sprintf("%s/%d", d.name, token)})
	s.Bounds = cuminstair.Bounds{MaxLease: walkMaxHold, StopGrace: walkStopGrace, StateRetention: d.w.retention, RemoteFactor: d.w.remote}
	s.Grace, s.Rand = ownerGrace, rand.New(rand.NewPCG(token, 1))
	if hadOwner {
		s.EarlierOwnerGrace = ownerGrace
	}
	if d.w.quotas != nil {
		s.SetAccounts(d.w.quotas.accounts(d))
	}
	r.state = s
	return r
}

// name identifies the runner in traces.
func (r *runner) name() string { return fmt.Sprintf("%s/%d", r.d.name, r.token) }

// post runs an event of the runner and takes a step soon after it.
func (r *runner) post(fn func(now time.Time)) {
	if r.ended {
		return
	}
	fn(r.d.now())
	if r.planned {
		return
	}
	r.planned = true
	r.d.after(r.lastStep.Add(runnerGap).Sub(r.d.w.sim.now), func() {
		r.planned = false
		r.step()
	})
}

func (r *runner) aliveAt() time.Time {
	if r.wroteAt.After(r.alive) {
		r.alive = r.wroteAt
	}
	if r.wroteAt.After(r.offeredAt.Add(offerTime)) {
		r.offeredAt = time.Time{}
	}
	if !r.offeredAt.IsZero() {
		return time.Time{}
	}
	at := r.d.wroteAt
	if at.After(r.alive) && (at.Sub(r.alive) < dispatch.AliveTime || r.confirmedAt.After(at)) {
		r.alive = at
	}
	return r.alive
}

func (r *runner) tick() {
	if r.ended {
		return
	}
	r.post(func(time.Time) {})
	r.d.after(runnerTick, r.tick)
}

func (r *runner) setConfirmed(sent time.Time) {
	if sent.After(r.confirmedAt) {
		r.confirmedAt = sent
	}
}

// step sends the orders and writes the records that are due.
func (r *runner) step() {
	if r.ended || r.writing {
		return
	}
	r.lastStep = r.d.w.sim.now
	if r.state.Deposed() {
		r.end("deposed")
		return
	}
	now := r.d.now()
	r.state.SetAlive(r.aliveAt())
	orders := r.state.Decide(now, r.confirmedAt)
	if r.state.ListDue(now) {
		r.d.readList(func() {})
	}
	sort.SliceStable(orders, func(i, j int) bool { return orderLess(&orders[i], &orders[j]) })
	for _, o := range orders {
		r.execute(o)
	}
	r.state.SetStoreDown(!r.failing.IsZero() && now.Sub(r.failing) > 700*time.Millisecond)
	r.state.AnswerLate(now, r.inflight)
	r.sendBatch(now)
	if r.inflight == nil && r.releasing {
		r.release()
	}
}

// orderLess orders the orders of a step, since the order of maps varies.
func orderLess(a, b *dispatch.Order) bool {
	if a.Worker.ID != b.Worker.ID {
		return a.Worker.ID < b.Worker.ID
	}
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return taskLess(a.Task, b.Task)
}

func taskLess(a, b cuminstair.TaskID) bool {
	return fmt.Sprintf("%s.%04d.%02d.%05d", a.Job, a.Occurrence, a.Step, a.Index) < fmt.Sprintf("%s.%04d.%02d.%05d", b.Job, b.Occurrence, b.Step, b.Index)
}

func (r *runner) end(why string) {
	if r.ended {
		return
	}
	r.ended = true
	r.state.Depose(why)
	r.state.AnswerAll()
	if r.d.runner == r {
		r.d.runner = nil
	}
	r.d.w.note(r.name(), "runner ended", "why", why)
	r.d.w.closed(r)
	for _, fn := range r.onEnd {
		fn()
	}
	r.d.readMore = true
}

// execute sends an order and passes the answer to the service.
func (r *runner) execute(o dispatch.Order) {
	if o.Kind == dispatch.OrderAdvise || o.Kind == dispatch.OrderPace {
		return
	}
	sent, run := r.d.now(), r.d.run
	r.d.w.workerCall(r.d, r.name(), o, func(rep cuminstair.WorkerReport, err error) {
		r.d.do(run, func() {
			r.post(func(now time.Time) {
				switch o.Kind {
				case dispatch.OrderStart:
					r.state.Started(now, o, rep.Clock, err)
				case dispatch.OrderStop:
					r.state.Stopped(now, o, err)
				default:
					r.state.Renewed(now, sent, o.Worker.ID, rep, err)
				}
			})
		})
	})
}

func (r *runner) sendBatch(now time.Time) {
	if r.inflight != nil || now.Before(r.retryAt) {
		return
	}
	b := r.state.Batch(now)
	if b == nil || b.Empty() {
		return
	}
	r.owner.seq++
	r.owner.unsettled = r.unsettled()
	r.inflight, r.uncertain, r.hedges = b, false, 0
	r.commit(b, r.owner)
	r.hedge(b, r.owner, hedgePause)
}

// hedge sends the batch in flight again, up to twice.
func (r *runner) hedge(b *dispatch.Batch, o ownerRow, pause time.Duration) {
	r.d.after(pause, func() {
		if r.ended || r.inflight != b || r.owner != o {
			return
		}
		r.hedges++
		if r.hedges <= 2 {
			r.commit(b, o)
			r.hedge(b, o, 2*pause)
		}
	})
}

func (r *runner) commit(b *dispatch.Batch, o ownerRow) {
	sent, check := r.d.now(), r.version
	var got commitResult
	r.d.storeCall(storeTimeout, func() { got = r.d.w.store.commit(check, o, b.Puts, b.Deletes) }, func(err error) {
		r.post(func(now time.Time) {
			if r.inflight != b || r.owner != o {
				return
			}
			switch {
			case err == nil && !got.conflict:
				r.committed(now, sent, b, got.version)
			case err == nil && got.owner == o:
				r.committed(now, sent, b, got.at)
			case err == nil:
				r.state.Depose("the store has another owner record: " + got.owner.name)
			case errors.Is(err, cuminstair.ErrUnavailable) && !r.uncertain && r.hedges == 0:
				r.writeFailed(now)
				r.state.NotStored(b)
				r.inflight, r.retryAt = nil, now.Add(commitRetryPause)
			default:
				r.writeFailed(now)
				r.uncertain = true
				r.d.after(commitRetryPause, func() {
					if r.inflight == b && !r.ended {
						r.commit(b, o)
					}
				})
			}
		})
	})
}

func (r *runner) writeFailed(now time.Time) {
	if r.failing.IsZero() {
		r.failing = now
	}
}

func (r *runner) committed(now, sent time.Time, b *dispatch.Batch, version uint64) {
	r.version, r.inflight, r.failing = version, nil, time.Time{}
	r.setConfirmed(sent)
	r.wroteAt, r.d.wroteAt = sent, sent
	r.state.Stored(now, b)
}

// handOver makes the runner release the service.
func (r *runner) handOver() {
	r.d.w.note(r.name(), "handover begins")
	r.post(func(time.Time) { r.state.Stopping() })
	r.releasing = true
}

func (r *runner) release() {
	r.writing = true
	r.d.writeOwner(r.version, ownerRow{seq: r.owner.seq + 1, unsettled: r.unsettled()}, func(uint64, bool) { r.end("handed over") })
}

// unsettled reports whether earlier owners may still give orders.
func (r *runner) unsettled() bool {
	return !r.settled && r.d.now().Sub(r.takenAt) < ownerGrace
}

// stopEarlier tells the earlier owner to stop until that is certain or it gives no orders in any case.
func (r *runner) stopEarlier(old ownerRow) {
	d := r.d
	if r.ended || !d.now().Before(r.takenAt.Add(ownerGrace)) {
		return
	}
	stopped := func() {
		d.w.note(r.name(), "earlier owner has stopped", "earlier", old.name)
		if !old.unsettled {
			r.settled = true
			r.post(func(now time.Time) { r.state.EarlierOwnerStopped(now) })
		}
	}
	b, known := d.beats[old.name]
	if old.name == "" || known && b.run > old.run { // as ownership.View.Restarted: an older heartbeat proves nothing
		stopped()
		return
	}
	d.w.stopCall(d, old, r, func(ok bool) {
		if ok {
			stopped()
			return
		}
		d.after(stopRetryInterval, func() { r.stopEarlier(old) })
	})
}

// stopCall tells a daemon to stop, and answers whether it gives no more orders under its earlier ownership.
func (w *walk) stopCall(from *daemon, old ownerRow, r *runner, answer func(ok bool)) {
	to := w.daemonNamed(old.name)
	run := from.run
	answered := false
	reply := func(ok bool) {
		if !answered {
			answered = true
			from.do(run, func() { answer(ok) })
		}
	}
	w.sim.after(peerLimit, func() { reply(false) })
	if w.mode(from, to.name, to.centre) != linkOK {
		return
	}
	back := func(ok bool) {
		if w.mode(from, to.name, to.centre) == linkOK {
			w.sim.after(w.latency(), func() { reply(ok) })
		}
	}
	w.sim.after(w.latency(), func() {
		to.do(to.run, func() {
			to.newerOwner = max(to.newerOwner, r.token)
			to.calls.hint, to.calls.hintAt = from.name, w.sim.now
			x := to.runner
			switch {
			case x == nil || x.token >= r.token:
				back(x == nil || old.run != to.run)
			default:
				x.onEnd = append(x.onEnd, func() { back(true) })
				x.post(func(time.Time) { x.state.Depose("the new owner ordered the stop") })
			}
		})
	})
}
