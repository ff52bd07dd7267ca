package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Times of the daemon that owns a service, as in package entry.
const (
	tickInterval      = 40 * time.Millisecond
	stepInterval      = 2 * time.Millisecond
	stepPerWorker     = 50 * time.Microsecond
	workerListPause   = 300 * time.Millisecond
	hostListPause     = 250 * time.Millisecond
	confirmInterval   = 300 * time.Millisecond
	storeDownAfter    = 700 * time.Millisecond
	writeSilentAfter  = 1200 * time.Millisecond
	ownerGrace        = 6 * time.Second
	stateRetention    = 2 * time.Minute
	stopGrace         = 400 * time.Millisecond
	firstToken        = 1000
	tokensPerTakeover = 1000
)

// owner is the daemon that owns a service. It drives dispatch.Service as package entry does.
type owner struct {
	sim         *sim
	queue       *Queue
	service     *dispatch.Service
	stopped     bool
	stepPlanned bool
	lastStep    time.Time
	confirmed   time.Time
	inflight    *dispatch.Batch
	sentAt      time.Time // when inflight was sent
}

// newOwner starts the owner of a service, which takes over the records of an earlier one.
func newOwner(s *sim, q *Queue) *owner {
	s.lastToken += tokensPerTakeover
	o := &owner{sim: s, queue: q, confirmed: s.now}
	o.service = dispatch.New(q.Name, s.lastToken, s.now, hclog.NewNullLogger())
	o.service.Bounds = cuminstair.Bounds{StopGrace: stopGrace, StateRetention: stateRetention}
	o.service.Grace = ownerGrace
	records := s.store[q.Name]
	if len(records) > 0 {
		o.service.EarlierOwnerGrace = ownerGrace
	}
	o.recover(records)
	o.service.SetWorkers(s.now, s.workerList(q.Name))
	o.repeat(tickInterval, func() {})
	o.repeat(workerListPause, o.readWorkers)
	o.repeat(hostListPause, func() {
		if o.service.NeedsHosts() {
			o.service.SetHosts(s.now, s.now, s.hostRecords())
		}
	})
	o.repeat(confirmInterval, func() {
		if !s.storeAway() {
			o.confirmed = s.now
		}
	})
	return o
}

// recover passes the stored records to the service.
func (o *owner) recover(records map[cuminstair.RecordKey][]byte) {
	byTable := map[string][]cuminstair.Record{}
	for key, value := range records {
		byTable[key.Table] = append(byTable[key.Table], cuminstair.Record{RecordKey: key, Value: value})
	}
	for _, list := range byTable {
		slices.SortFunc(list, func(a, b cuminstair.Record) int { return cmp.Compare(a.Key, b.Key) })
	}
	o.service.Recover(o.sim.now, byTable[dispatch.JobTable], byTable[dispatch.RunTable], byTable[dispatch.WorkerTable])
}

// repeat passes an event to the owner after each interval until it stops.
func (o *owner) repeat(interval time.Duration, fn func()) {
	o.sim.after(interval, func() {
		if o.stopped {
			return
		}
		o.event(fn)
		o.repeat(interval, fn)
	})
}

// event runs fn and plans the step that follows.
func (o *owner) event(fn func()) {
	if o.stopped {
		return
	}
	fn()
	if o.stepPlanned {
		return
	}
	o.stepPlanned = true
	gap := max(stepInterval, time.Duration(o.service.Workers())*stepPerWorker)
	o.sim.after(o.lastStep.Add(gap).Sub(o.sim.now), o.step)
}

// stop ends the owner, as the death of its daemon does.
func (o *owner) stop() { o.stopped = true }

func (o *owner) readWorkers() {
	if !o.sim.storeAway() {
		o.service.SetWorkers(o.sim.now, o.sim.workerList(o.queue.Name))
	}
}

// step sends the orders and writes the records that are due.
func (o *owner) step() {
	o.stepPlanned = false
	if o.stopped {
		return
	}
	now := o.sim.now
	o.lastStep = now
	orders := slices.Clone(o.service.Decide(now, o.confirmed))
	// The order of orders to different workers has no meaning in the product and differs between two runs.
	slices.SortStableFunc(orders, func(a, b dispatch.Order) int {
		return cmp.Or(cmp.Compare(a.Worker.ID, b.Worker.ID), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	for i := range orders {
		o.send(orders[i])
	}
	silent := o.sim.storeAway() && now.Sub(o.sim.storeAwayAt) > writeSilentAfter+storeDownAfter
	o.service.SetStoreDown(silent)
	o.service.SetWriteLatency(o.writeLatency())
	o.service.AnswerLate(now, o.inflight)
	o.write()
}

// writeLatency is the time of a write, or the age of the one in flight if that is longer.
func (o *owner) writeLatency() time.Duration {
	usual := seconds(o.sim.day.load.WriteSeconds)
	if o.inflight == nil {
		return usual
	}
	return max(usual, o.sim.now.Sub(o.sentAt))
}

// write sends the next batch of records unless one is in flight.
func (o *owner) write() {
	if o.inflight != nil {
		return
	}
	b := o.service.Batch(o.sim.now)
	if b == nil || b.Empty() {
		return
	}
	o.inflight, o.sentAt = b, o.sim.now
	o.sim.write(func() {
		if o.stopped {
			return
		}
		o.sim.keep(o.queue.Name, b)
		o.confirmed = o.sentAt
		o.event(func() {
			o.service.Stored(o.sim.now, b)
			o.inflight = nil
			o.noteEnds(b)
		})
	})
}

// noteEnds records the jobs that are shown as completed from now on.
func (o *owner) noteEnds(b *dispatch.Batch) {
	for i := range b.Puts {
		j := o.sim.byID[b.Puts[i].Key]
		if j == nil || !j.completedAt.IsZero() || b.Puts[i].Table != dispatch.RunTable {
			continue
		}
		if o.service.State(j.id) == cuminstair.JobCompleted {
			j.completedAt = o.sim.now
		}
	}
}

// call is a call to a worker, which is answered once.
type call struct {
	owner    *owner
	order    dispatch.Order
	sent     time.Time
	answered bool
}

// send sends an order to its worker and passes the answer to the service.
func (o *owner) send(order dispatch.Order) {
	c := &call{owner: o, order: order, sent: o.sim.now}
	w := o.sim.workerByID[order.Worker.ID]
	if w.dead && w.host.phase != cuminstair.PhaseDown {
		c.answer(cuminstair.WorkerReport{}, fmt.Errorf("%w: %w", cuminstair.ErrNotDone, cuminstair.ErrConnRefused))
		return
	}
	o.sim.after(callDelay, func() { c.arrive(w) })
	o.sim.after(order.Wait+callTimeout, func() {
		c.answer(cuminstair.WorkerReport{}, cuminstair.ErrUncertain)
	})
}

// arrive carries out the call on the worker.
func (c *call) arrive(w *worker) {
	if !w.reachable() {
		return
	}
	switch c.order.Kind {
	case dispatch.OrderStart:
		c.answer(cuminstair.WorkerReport{}, w.start(&c.order))
	case dispatch.OrderStop:
		c.answer(cuminstair.WorkerReport{}, w.stop(&c.order))
	case dispatch.OrderRenew:
		w.renew(&c.order, c.answer)
	default:
	}
}

// answer passes the answer to the service after the time of the message.
func (c *call) answer(r cuminstair.WorkerReport, err error) {
	if c.answered {
		return
	}
	c.answered = true
	o := c.owner
	o.sim.after(callDelay, func() {
		o.event(func() {
			now := o.sim.now
			switch c.order.Kind {
			case dispatch.OrderStart:
				o.service.Started(now, c.order, 0, err)
			case dispatch.OrderStop:
				o.service.Stopped(now, c.order, err)
			case dispatch.OrderRenew:
				o.service.Renewed(now, c.sent, c.order.Worker.ID, r, err)
			default:
			}
		})
	})
}
