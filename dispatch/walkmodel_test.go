package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// events is a heap of the events of a walk in the order of their times.
type events []event

type event struct {
	at  time.Time
	seq int
	fn  func()
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (e *events) next() event { return heap.Pop(e).(event) }

// simulation runs events in virtual time.
type simulation struct {
	now    time.Time
	queue  events
	nextID int
	rand   *rand.Rand
}

func (s *simulation) after(d time.Duration, fn func()) {
	s.nextID++
	heap.Push(&s.queue, event{at: s.now.Add(max(0, d)), seq: s.nextID, fn: fn})
}

// between returns a random duration.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)+1))
}

// chance returns true with a probability.
func (s *simulation) chance(p float64) bool { return s.rand.Float64() < p }

// Parameters of the modelled workers.
const (
	walkMaxHold     = 10 * time.Second // longest lease that a worker grants
	walkStopGrace   = 400 * time.Millisecond
	walkGangTimeout = 3 * time.Second
	walkEndsPage    = 500 // ended runs in one answer
	walkCallTimeout = 800 * time.Millisecond
)

// modelRun is a run on a modelled worker.
type modelRun struct {
	task     cuminstair.TaskID
	run      int64
	on       *process
	by       string // daemon and token of the starter
	cpu      int
	memory   int
	started  time.Time
	begun    time.Time // when it began to work: the start, or when its gang was complete
	work     time.Duration
	how      cuminstair.TaskEnd
	ended    bool
	endedAt  time.Time
	seq      int64 // number of its end
	acked    bool  // its end was acknowledged
	lapsed   bool  // the lease of its worker lapsed between its end and the acknowledgement
	stopping bool
	stopLate bool   // its stop was held up on its way
	from     string // checkpoint from which it started
	startNo  int    // number of its start among all starts and ends of the walk
	endNo    int    // number of its end
}

// active reports whether the run is still active on a live worker.
func (r *modelRun) active() bool { return !r.ended && !r.on.dead }

// process is one life of a worker.
type process struct {
	w         *walk
	info      cuminstair.WorkerInfo
	host      *modelHost
	startedAt time.Time
	offset    time.Duration // of its clock at startedAt
	rate      float64       // of its clock
	token     int64
	lease     time.Duration
	leaseSet  bool
	lapses    int
	runs      []*modelRun
	barred    map[cuminstair.TaskID]int64
	ends      []*modelRun // ended and not acknowledged
	seq       int64
	dead      bool
	diedAt    time.Time
	leaving   bool
	unlisted  bool // its entry in the platform's list is missing although it is alive
	waiting   []*waitingHold
}

// waitingHold is a renewal whose answer waits for a run to end.
type waitingHold struct {
	answer   func(cuminstair.WorkerReport, error)
	answered bool
	withheld bool // the acknowledgement and the lease were withheld
	leased   bool // the call has a lease
}

// modelHost is a host of the platform.
type modelHost struct {
	name    string
	addr    string
	centre  int
	phase   cuminstair.HostPhase
	pool    string
	proc    *process // process at its address; nil: none
	cpu     int      // of its workers
	first   int      // of its first worker
	kind    int      // number of times that its workers came back with another label
	changes int      // of its state
	shown   int      // number of the change that the list of hosts shows
	refuses bool     // connections are refused while there is no process
}

func (p *process) clock() time.Duration {
	return p.offset + time.Duration(p.rate*float64(p.w.sim.now.Sub(p.startedAt)))
}

// extend extends the lease to a time on the worker's clock.
func (p *process) extend(lease time.Duration) {
	lease = min(lease, p.clock()+walkMaxHold)
	if lease <= p.lease {
		return
	}
	first := !p.leaseSet || p.clock() >= p.lease
	p.lease, p.leaseSet = lease, true
	if first {
		p.watchLease()
	}
}

func (p *process) watchLease() {
	left := p.lease - p.clock()
	p.w.sim.after(time.Duration(float64(left)/p.rate)+time.Microsecond, func() {
		if p.dead {
			return
		}
		if p.clock() < p.lease {
			p.watchLease()
			return
		}
		p.lapses++
		p.w.counts.lapses++
		for _, r := range p.ends {
			r.lapsed = true
		}
		if len(p.runs) > 0 || len(p.ends) > 0 {
			p.w.note("worker", "lease lapsed", "worker", p.info.ID, "runs", len(p.runs), "ends", len(p.ends))
		}
		for len(p.runs) > 0 {
			p.end(p.runs[0], cuminstair.EndLeaseExpired)
		}
		for _, r := range p.ends {
			r.lapsed = true
		}
	})
}

// start carries out a start order.
func (p *process) start(by string, o dispatch.Order) error {
	if o.Token < p.token {
		return cuminstair.ErrFenced
	}
	p.token = o.Token
	if o.Start.Lease <= p.clock() {
		return cuminstair.ErrLeaseExpired
	}
	p.extend(o.Start.Lease)
	for _, r := range p.runs {
		if r.task == o.Task && r.run == o.Run {
			return nil
		}
	}
	if o.Run <= p.barred[o.Task] {
		return cuminstair.ErrStaleRun
	}
	step := p.w.stepOf(o.Task)
	cpu, memory := step.CPU, step.Memory
	for _, r := range p.runs {
		cpu, memory = cpu+r.cpu, memory+r.memory
	}
	if cpu > p.info.CPU || memory > p.info.Memory {
		if p.w.guarded {
			return cuminstair.ErrNoRoom
		}
		p.w.violation("LIMIT", o.Task, "start exceeds the room of "+p.info.ID)
	}
	r := &modelRun{
		task: o.Task, run: o.Run, on: p, by: by, cpu: step.CPU, memory: step.Memory, started: p.w.sim.now, from: o.Start.Checkpoint,
	}
	p.w.checkStart(r)
	p.runs = append(p.runs, r)
	p.w.recordStart(r)
	r.work = p.w.workOf(o.Task)
	if step.Gang {
		p.w.joinGang(r)
		return nil
	}
	r.begin()
	return nil
}

// walkCheckpointTime is the work after which a run has a new checkpoint.
const walkCheckpointTime = 200 * time.Millisecond

// checkpoint returns the newest checkpoint of a run: the one from which it started, or one that names its owner.
func (r *modelRun) checkpoint() string {
	end := r.on.w.sim.now
	if r.ended {
		end = r.endedAt
	}
	n := int64(end.Sub(r.begun) / walkCheckpointTime)
	if !r.on.w.stepOf(r.task).Checkpoints || r.begun.IsZero() || n == 0 {
		return r.from
	}
	return fmt.Sprintf("%s/%d/%d", r.on.w.checkpointOwner(r.task), r.run, n)
}

// begin schedules the end of the run's work.
func (r *modelRun) begin() {
	w := r.on.w
	r.begun = w.sim.now
	if w.stepOf(r.task).LongRunning {
		if w.sim.chance(w.longFailure) {
			w.sim.after(w.sim.between(time.Second, 10*time.Second), func() { r.finish(cuminstair.EndFailed) })
		}
		return
	}
	how := cuminstair.EndDone
	if w.fails(r.task) {
		how = cuminstair.EndFailed
	}
	w.sim.after(r.work, func() { r.finish(how) })
}

func (r *modelRun) finish(how cuminstair.TaskEnd) {
	if !r.active() {
		return
	}
	if w := r.on.w; w.stepOf(r.task).Gang {
		w.endGang(r, how)
		return
	}
	r.on.end(r, how)
}

// end ends a run.
func (p *process) end(r *modelRun, how cuminstair.TaskEnd) {
	if r.ended {
		return
	}
	p.runs = slices.DeleteFunc(p.runs, func(x *modelRun) bool { return x == r })
	p.seq++
	r.ended, r.endedAt, r.how, r.seq = true, p.w.sim.now, how, p.seq
	p.barred[r.task] = max(p.barred[r.task], r.run)
	p.ends = append(p.ends, r)
	p.w.counts.mostEnds = max(p.w.counts.mostEnds, len(p.ends))
	p.w.note("worker", "run ended", "worker", p.info.ID, "job", r.task.Job, "occurrence", r.task.Occurrence, "step", r.task.Step, "task", r.task.Index, "run", r.run,
		"how", how, "seq", r.seq)
	p.w.recordEnd(r)
	for _, h := range p.waiting {
		h.reply(p)
	}
	p.waiting = nil
	if p.w.stepOf(r.task).Gang && how != cuminstair.EndDone {
		p.w.breakGang(r)
	}
}

func (h *waitingHold) reply(p *process) {
	if h.answered || p.dead {
		return
	}
	h.answered = true
	rep := p.report()
	rep.AckWithheld, rep.LeaseWithheld = h.withheld, h.withheld && h.leased
	h.answer(rep, nil)
}

// stop carries out a stop order, which may have been held up on its way.
func (p *process) stop(o dispatch.Order, late bool) error {
	if o.Token < p.token {
		return cuminstair.ErrFenced
	}
	p.token = o.Token
	p.barred[o.Task] = max(p.barred[o.Task], o.Run)
	for _, r := range p.runs {
		if r.task == o.Task && r.run <= o.Run && !r.stopping {
			r.stopping, r.stopLate = true, late
			p.w.sim.after(p.w.sim.between(0, walkStopGrace), func() {
				if r.active() {
					p.w.checkStop(r)
					p.end(r, cuminstair.EndStopped)
				}
			})
		}
	}
	return nil
}

// withheld reports whether an acknowledgement and a lease are withheld: the connection has ended with an earlier process, or by itself.
func (p *process) withheld(o dispatch.Order) bool {
	return o.Seen > 0 && (p.info.Incarnation != o.Worker.Incarnation || p.w.sim.chance(0.05))
}

// hold carries out a renewal; answer is called later if the order waits for an end.
func (p *process) hold(by string, o dispatch.Order, answer func(cuminstair.WorkerReport, error)) error {
	if o.Token < p.token {
		return cuminstair.ErrFenced
	}
	p.token = o.Token
	withheld := p.withheld(o)
	if o.Lease > 0 && !withheld {
		p.extend(o.Lease)
	}
	kept := []*modelRun(nil)
	for _, r := range p.ends {
		if withheld || r.seq > o.Seen {
			kept = append(kept, r)
			continue
		}
		r.acked = true
		p.w.note(by, "end acknowledged", "worker", p.info.ID, "job", r.task.Job, "occurrence", r.task.Occurrence, "step", r.task.Step, "task", r.task.Index, "run", r.run,
			"seq", r.seq, "lapsed", r.lapsed)
		p.w.checkAcknowledged(r)
	}
	p.ends = kept
	h := &waitingHold{answer: answer, withheld: withheld, leased: o.Lease > 0}
	if o.Wait == 0 || len(p.ends) > 0 {
		h.reply(p)
		return nil
	}
	p.waiting = append(p.waiting, h)
	p.w.sim.after(o.Wait, func() { h.reply(p) })
	return nil
}

func (p *process) report() cuminstair.WorkerReport {
	rep := cuminstair.WorkerReport{Clock: p.clock().Truncate(time.Millisecond), Incarnation: p.info.Incarnation}
	for _, r := range p.runs {
		percent := 100
		step := p.w.stepOf(r.task)
		switch {
		case r.begun.IsZero(), step.LongRunning && p.w.sim.now.Sub(r.begun) < startup:
			percent = 0
		case !step.LongRunning:
			percent = min(99, int(100*p.w.sim.now.Sub(r.begun)/max(1, r.work)))
		}
		rep.Running = append(rep.Running, cuminstair.RunningTask{Task: r.task, Run: r.run, Percent: percent, Checkpoint: r.checkpoint()})
	}
	rep.More = len(p.ends) >= walkEndsPage
	for _, r := range p.ends[:min(len(p.ends), walkEndsPage)] {
		rep.Ended = append(rep.Ended, cuminstair.EndedTask{Seq: r.seq, Task: r.task, Run: r.run, How: r.how, Checkpoint: r.checkpoint()})
	}
	return rep
}

// die ends the process without notice. Its host refuses connections or stays silent.
func (p *process) die(refuses bool) {
	if p.dead {
		return
	}
	p.dead, p.diedAt = true, p.w.sim.now
	p.host.refuses = refuses
	for _, r := range p.runs {
		if p.w.stepOf(r.task).Gang && !r.begun.IsZero() {
			p.w.sim.after(p.w.gangNotice(), func() { p.w.breakGang(r) })
		}
	}
	for _, h := range p.waiting {
		if refuses && !h.answered { // the host is up and resets the connections
			h.answered = true
			h.answer(cuminstair.WorkerReport{}, cuminstair.ErrUncertain)
		}
	}
	if p.host.proc == p {
		p.host.proc = nil
	}
}

// Store.

// ownerRow is the conditional record that names the owner.
type ownerRow struct {
	name      string // daemon; empty after a release
	run       int
	seq       int64
	unsettled bool // owners before it may still give orders
}

// heartbeat is the record of a daemon.
type heartbeat struct {
	run int
	at  time.Time // when it was last written
}

// modelStore is the platform's store.
type modelStore struct {
	version      uint64
	owner        ownerRow
	ownerVersion uint64
	records      map[cuminstair.RecordKey][]byte
	beats        map[string]heartbeat
}

// commitResult is the answer to a transaction.
type commitResult struct {
	version  uint64
	conflict bool
	owner    ownerRow // if conflict: the present owner record and its version
	at       uint64
}

// commit applies a transaction whose condition is the version of the owner record.
func (s *modelStore) commit(check uint64, o ownerRow, puts []cuminstair.RecordPut, deletes []cuminstair.RecordKey) commitResult {
	if s.ownerVersion != check {
		return commitResult{conflict: true, owner: s.owner, at: s.ownerVersion}
	}
	s.version++
	s.owner, s.ownerVersion = o, s.version
	for _, p := range puts {
		s.records[p.RecordKey] = p.Value
	}
	for _, k := range deletes {
		delete(s.records, k)
	}
	return commitResult{version: s.version}
}

// table returns the records of a table.
func (s *modelStore) table(name string) []cuminstair.Record {
	var list []cuminstair.Record
	for k, v := range s.records {
		if k.Table == name {
			list = append(list, cuminstair.Record{RecordKey: k, Value: v})
		}
	}
	slices.SortFunc(list, func(a, b cuminstair.Record) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		}
		return 0
	})
	return list
}

// linkMode is the state of a network path.
type linkMode uint8

const (
	linkOK          linkMode = iota
	linkCut                  // requests are lost
	linkAnswersLost          // requests arrive, answers are lost
	linkHeld                 // requests have no answer and are carried out 2 to 12 s later
	linkRefused              // the store refuses at once (store only)
)

func (m linkMode) String() string {
	return [...]string{"ok", "cut", "answers lost", "held", "refused"}[m]
}

// link is a path that is disturbed until a time.
type link struct {
	mode  linkMode
	until time.Time
}

type pair struct{ from, to string }

// mode returns the state of the path from a daemon to a worker's address, another daemon or the store.
func (w *walk) mode(d *daemon, to string, centre int) linkMode {
	if l, ok := w.links[pair{d.name, to}]; ok && w.sim.now.Before(l.until) {
		return l.mode
	}
	if centre != d.centre && (w.sim.now.Before(w.cutCentres[d.centre]) || centre >= 0 && w.sim.now.Before(w.cutCentres[centre])) {
		return linkCut
	}
	return linkOK
}

// latency returns the time of one way of a call.
func (w *walk) latency() time.Duration {
	if w.slowAnswers > 0 && w.sim.chance(w.slowAnswers) {
		return w.sim.between(0, 600*time.Millisecond)
	}
	return w.sim.between(500*time.Microsecond, 5*time.Millisecond)
}

// workerCall sends an order to the worker at an address and calls answer once.
func (w *walk) workerCall(d *daemon, by string, o dispatch.Order, answer func(cuminstair.WorkerReport, error)) {
	host := w.hostAt(o.Worker.Addr)
	answered := false
	reply := func(rep cuminstair.WorkerReport, err error) {
		if !answered {
			answered = true
			answer(rep, err)
		}
	}
	w.sim.after(walkCallTimeout+o.Wait, func() { reply(cuminstair.WorkerReport{}, cuminstair.ErrUncertain) })
	if host == nil {
		w.sim.after(walkCallTimeout-100*time.Millisecond, func() { reply(cuminstair.WorkerReport{}, cuminstair.ErrNotDone) })
		return
	}
	back := func(rep cuminstair.WorkerReport, err error) {
		if m := w.mode(d, host.addr, host.centre); m != linkOK {
			return // the answer is lost
		}
		w.sim.after(w.latency(), func() { reply(rep, err) })
	}
	delay, late := w.latency(), false
	switch w.mode(d, host.addr, host.centre) {
	case linkCut:
		if w.sim.chance(0.3) {
			w.sim.after(walkCallTimeout-100*time.Millisecond, func() { reply(cuminstair.WorkerReport{}, cuminstair.ErrNotDone) })
		}
		return
	case linkHeld:
		delay, late = w.sim.between(2*time.Second, 12*time.Second), true
		w.counts.held++
	default:
	}
	// A connection ends with the process that it was made to.
	p := host.proc
	w.sim.after(delay, func() {
		switch {
		case p != nil && !p.dead:
			w.carryOut(p, by, o, late, back)
		case p == nil && host.refuses:
			back(cuminstair.WorkerReport{}, fmt.Errorf("%w: %w", cuminstair.ErrNotDone, cuminstair.ErrConnRefused))
		}
	})
}

// carryOut carries out an order at a process. late tells that it was held up on its way.
func (w *walk) carryOut(p *process, by string, o dispatch.Order, late bool, back func(cuminstair.WorkerReport, error)) {
	w.target = p
	defer func() { w.target = nil }()
	if p.info.ID != o.Worker.ID {
		back(cuminstair.WorkerReport{}, cuminstair.ErrOtherIncarnation)
		return
	}
	var err error
	switch o.Kind {
	case dispatch.OrderStart:
		// The client does not send a start to a later incarnation. Every other one is carried out all the same, as a late copy would be,
		// but not where that would be a start on a worker of another kind.
		if p.info.Incarnation != o.Worker.Incarnation && (w.kinds != nil || !late && o.Run%2 == 0) {
			err = cuminstair.ErrRestarted
			break
		}
		err = p.start(by, o)
		w.note(by, "start carried out", "worker", p.info.ID, "job", o.Task.Job, "occurrence", o.Task.Occurrence, "step", o.Task.Step, "task", o.Task.Index, "run", o.Run, "error", err)
	case dispatch.OrderStop:
		err = p.stop(o, late)
		w.note(by, "stop carried out", "worker", p.info.ID, "job", o.Task.Job, "occurrence", o.Task.Occurrence, "step", o.Task.Step, "task", o.Task.Index, "run", o.Run, "error", err)
	case dispatch.OrderRenew:
		err = p.hold(by, o, back)
		if err == nil {
			return
		}
	default:
	}
	if err != nil {
		w.counts.refused[err.Error()]++
	}
	back(cuminstair.WorkerReport{Clock: p.clock()}, err)
}
