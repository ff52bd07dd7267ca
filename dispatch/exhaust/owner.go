package exhaust

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Times of the owners, as in package entry.
const (
	ownerGrace      = 6 * time.Second
	takeoverTime    = time.Second            // from the last write of an owner until another one takes over
	confirmationAge = 200 * time.Millisecond // of the store's last confirmation of the owner
	writeAge        = 100 * time.Millisecond // of the last write of the daemon
	noticeTime      = 400 * time.Millisecond // until an owner that reaches the store learns of its successor
	tokenStep       = 100
)

// owner is a daemon that owns the service, or did.
type owner struct {
	x           *world
	state       *dispatch.Service
	confirmedAt time.Time
	aliveAt     time.Time
	listAt      time.Time // when it last got the list of workers
	hostsAt     time.Time // when it last got the records of the hosts
	silentSince time.Time // since when it does not write to the store; zero: it does
	frozen      bool
	storeCut    bool
	dead        bool
	deposeAt    time.Time // when it learns of its successor; zero: never
	told        bool      // it has been told that its predecessor has stopped
	queue       []answer  // that it has received while it was frozen
}

// answer is an answer to a call.
type answer struct {
	call *call
	rep  cuminstair.WorkerReport
	err  error
}

// takeOver makes a new owner from the records in the store.
func (x *world) takeOver() {
	n := len(x.owners)
	o := &owner{x: x, confirmedAt: x.now, aliveAt: x.now, listAt: x.now}
	s := dispatch.New(service, int64(tokenStep*(n+1)), x.now, newLossLog(x, n))
	s.Bounds = cuminstair.Bounds{MaxLease: maxLease, StopGrace: stopGrace, StateRetention: time.Hour}
	s.Grace = ownerGrace
	if n > 0 {
		s.EarlierOwnerGrace = ownerGrace
	}
	o.state = s
	x.owners = append(x.owners, o)
	if n > 0 {
		x.owners[n-1].learn()
	}
	s.Recover(x.now, x.records(dispatch.JobTable), x.records(dispatch.RunTable), x.records(dispatch.WorkerTable))
	x.lists, x.hosts = nil, nil // they were read by the owner before
	s.SetWorkers(x.now, x.workerList())
	s.SetListRead(x.now)
	s.SetHosts(x.now, x.now.Add(-eventTime), x.hostRecords())
	o.step()
}

// records returns the records of a table in the order of their keys.
func (x *world) records(table string) []cuminstair.Record {
	var list []cuminstair.Record
	for k, v := range x.store {
		if k.Table == table {
			list = append(list, cuminstair.Record{RecordKey: k, Value: v})
		}
	}
	slices.SortFunc(list, func(a, b cuminstair.Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

func (o *owner) submit() {
	step := cuminstair.JobStep{
		Count: o.x.opts.Tasks, CPU: taskCPU, Memory: 1000, Estimate: time.Minute, LongRunning: o.x.opts.LongRunning, PerWorker: o.x.opts.PerWorker,
	}
	if step.LongRunning {
		step.MaxUnavailable = 1
	}
	queue := cuminstair.WorkQueue{Name: "q", Service: service, TargetFactor: 4, Target: time.Hour, Attempts: 3}
	o.state.Submit(o.x.now, jobID, &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step}}, queue, "", func(dispatch.Result) {})
}

// holds reports whether the store names this owner.
func (o *owner) holds() bool { return o.x.owners[len(o.x.owners)-1] == o }

// learn makes an owner that reaches the store learn soon of its successor.
func (o *owner) learn() {
	if !o.holds() && !o.dead && !o.frozen && !o.storeCut && o.deposeAt.IsZero() {
		o.deposeAt = o.x.now.Add(noticeTime)
	}
}

// step reads the lists, sends the orders and writes the records that are due.
func (o *owner) step() {
	if o.dead || o.frozen || o.state.Deposed() {
		return
	}
	now := o.x.now
	if !o.deposeAt.IsZero() && !now.Before(o.deposeAt) {
		o.state.Depose("the store names another owner")
		return
	}
	if o.holds() && !o.storeCut {
		o.confirmedAt, o.aliveAt = latest(o.confirmedAt, now.Add(-confirmationAge)), latest(o.aliveAt, now.Add(-writeAge))
	}
	if !o.storeCut {
		o.readLists()
	}
	o.tellStopped()
	o.state.SetAlive(o.aliveAt)
	orders := o.state.Decide(now, o.confirmedAt)
	slices.SortStableFunc(orders, func(a, b dispatch.Order) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Worker.ID, b.Worker.ID), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	for _, order := range orders {
		o.x.send(o, order)
	}
	o.write()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readLists passes the lists that are due, unless an event holds them.
func (o *owner) readLists() {
	x := o.x
	if x.lists != nil && x.now.Sub(x.lists.readAt) >= listAge {
		o.deliverList()
	}
	if x.hosts != nil && x.now.Sub(x.hosts.readAt) >= listAge {
		o.deliverHosts()
	}
	if x.lists == nil && x.now.Sub(o.listAt) >= listInterval {
		o.setWorkers(x.now.Add(-eventTime), x.workerList())
	}
	if x.hosts == nil && x.now.Sub(o.hostsAt) >= hostInterval && o.state.NeedsHosts() {
		o.setHosts(x.now.Add(-eventTime), x.hostRecords())
	}
}

// deliverList passes a list of workers that was read earlier.
func (o *owner) deliverList() {
	if l := o.x.lists; l != nil {
		o.x.lists = nil
		o.setWorkers(l.readAt, l.list)
	}
}

// deliverHosts passes records of hosts that were requested earlier.
func (o *owner) deliverHosts() {
	if h := o.x.hosts; h != nil {
		o.x.hosts = nil
		o.setHosts(h.readAt, h.records)
	}
}

func (o *owner) setWorkers(read time.Time, list []cuminstair.WorkerInfo) {
	o.listAt = o.x.now
	o.state.SetWorkers(o.x.now, list)
	o.state.SetListRead(read)
}

func (o *owner) setHosts(sent time.Time, records []cuminstair.HostRecord) {
	o.hostsAt = o.x.now
	o.state.SetHosts(o.x.now, sent, records)
}

// tellStopped tells the owner once that its predecessor has stopped.
func (o *owner) tellStopped() {
	n := slices.Index(o.x.owners, o)
	if n > 0 && !o.told && o.x.owners[n-1].state.Deposed() {
		o.told = true
		o.state.EarlierOwnerStopped(o.x.now)
	}
}

// write writes the records that are due. The write of an owner that has a successor fails.
func (o *owner) write() {
	if o.storeCut {
		return
	}
	b := o.state.Batch(o.x.now)
	switch {
	case b == nil:
	case !o.holds():
		o.state.Depose("the store has another owner")
	default:
		for _, p := range b.Puts {
			o.x.store[p.RecordKey] = p.Value
		}
		for _, k := range b.Deletes {
			delete(o.x.store, k)
		}
		o.state.Stored(o.x.now, b)
	}
}

// answered passes the answer to a call, at once or after the end of a freeze.
func (o *owner) answered(c *call, rep cuminstair.WorkerReport, err error) {
	switch {
	case o.dead:
	case o.frozen:
		o.queue = append(o.queue, answer{call: c, rep: rep, err: err})
	default:
		o.receive(answer{call: c, rep: rep, err: err})
	}
}

func (o *owner) receive(a answer) {
	order := a.call.order
	switch order.Kind {
	case dispatch.OrderStart:
		o.x.startEnded(o, order.Task, order.Run, !errors.Is(a.err, cuminstair.ErrUncertain))
		o.state.Started(o.x.now, order, a.rep.Clock, a.err)
	case dispatch.OrderStop:
		o.state.Stopped(o.x.now, order, a.err)
	case dispatch.OrderRenew:
		for _, r := range a.rep.Running {
			o.x.startEnded(o, r.Task, r.Run, true)
		}
		for _, e := range a.rep.Ended {
			o.x.reported[e.Task] = o.x.reported[e.Task] || e.How == cuminstair.EndDone
		}
		o.state.Renewed(o.x.now, a.call.sent, order.Worker.ID, a.rep, a.err)
	default:
	}
}

// thaw makes a frozen owner go on with what it has received.
func (o *owner) thaw() {
	o.frozen, o.silentSince = false, time.Time{}
	o.learn()
	for _, a := range o.queue {
		o.receive(a)
	}
	o.queue = nil
	o.step()
}
