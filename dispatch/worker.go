package dispatch

import (
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/place"
	"cuminstair.org/cuminstair/quota"
)

// stepID names a step of an occurrence of a job.
type stepID struct {
	job              string
	occurrence, step int
}

func stepOf(t cuminstair.TaskID) stepID { return stepID{t.Job, t.Occurrence, t.Step} }

// incarnation is what the owner knows of one incarnation of a worker. A restart replaces it as a whole, so that nothing that was known of an
// earlier incarnation is used for a later one.
type incarnation struct {
	// info is its entry in the platform's list. While none has been read, only the fields that identity uses, the data centre and the
	// version are set.
	info         cuminstair.WorkerInfo
	total        place.Room    // according to info
	listed       bool          // its entry is in the platform's list
	leavingSince time.Time     // when it was first seen leaving; zero: it is not
	knownSince   time.Time     // when this owner learned of it
	restarted    bool          // this owner has known an earlier incarnation
	recorded     bool          // the stored worker record has its identity, so that the next owner will contact it
	synced       bool          // this owner has read its lists of running and ended tasks
	moreEnds     bool          // its last report lacked ends, so that a missing run may have ended
	gone         bool          // it has ended
	unread       bool          // a later incarnation is known to be there, and has not been read
	hostTaken    bool          // its host was taken for another pool or for maintenance, and it has not answered since
	clock        time.Duration // lower bound of its clock at clockAt
	clockAt      time.Time
	lease        time.Duration // latest lease sent, as a time on its clock
	heldLease    time.Duration // latest lease that it may have got by an order for an earlier incarnation, of any owner
	leaseUnsure  bool          // heldLease is to be set by its next report
	processed    int64         // sequence number up to which ends are processed
	stored       int64         // sequence number up to which ends are stored
	acknowledged int64         // sequence number up to which ends are acknowledged
	ackSent      int64         // the acknowledgement in the renewal in flight, 0 if none
	failedCalls  int           // consecutive failed renewals, and starts that did not reach it
	failingSince time.Time     // first of the failedCalls; zero: none
	connRefused  bool          // the last failed renewal was a refused connection, so the host is not cut off
	blockedUntil time.Time     // no new tasks until then, after refusals or failures
	failedRuns   int           // consecutive failed runs
	slowdown     float64       // moving mean of actual to expected durations; 0: unknown
	candidate    bool          // it might be given tasks at the last decision
	askFirst     bool          // it would be a candidate if it had answered lately; see restartMayBeMissed

	reservedFor   *task     // only this task may be placed on it; nil: any
	reservedUntil time.Time // when the reservation ends unless it is renewed
}

// worker is the owner's state of a worker. What belongs to its present incarnation is embedded.
type worker struct {
	incarnation

	// Its runs, some of which may be of earlier incarnations until the present one has listed its own.
	used        place.Room // by all attempts, including those being stopped
	short       place.Room // the part of used that is of short tasks
	attempts    map[cuminstair.TaskID]*attempt
	stepRuns    map[stepID]int // by step: number of attempts
	lateStarts  []*attempt     // released without an answer to their start, which a later incarnation may carry out
	longRunning int            // number of long-running attempts that are not best-effort
	bestEffort  int            // number of best-effort attempts
	unsized     int            // number of attempts whose room is not known: it gets no tasks
	idleSince   time.Time      // since when it has no tasks
	shares      *quota.Share   // of the service; nil in tests without accounts
	row         *workerRow     // record that it is in; nil: none yet

	// Tasks that may crash it.
	riskyStart    time.Time // last start of a task whose queue is at risk
	trials        int       // runs whose start may crash the worker, which gets no other tasks meanwhile
	trialAt       time.Time // when the last trial was started
	soleTrial     bool      // the last trial was of sole suspects
	trialFailed   bool      // it stopped answering in a trial
	suspects      []*task   // tasks that may have crashed it
	suspectsKnown bool      // suspects has been set since it last answered

	// Its host.
	rack          string    // according to the last entry of any incarnation
	cpu           int       // likewise, in thousandths of a core
	cordonedUntil time.Time // no new tasks until then: its host is due for maintenance or a move
	mayHaveMoved  bool      // it was reported as idle for a move: no new tasks until it answers after the cordon
	vacateUntil   time.Time // no new long-running tasks until then: its host is due for maintenance later
	vacating      bool      // whether vacateUntil was in the future at the last decision

	// The calls of this owner and of others.
	longLease    bool      // an earlier owner has seen it restart
	lateUntil    time.Time // until when a start that was sent before its restart was known may extend its lease
	leaseSentAt  time.Time // when the last order with a lease was sent
	renewing     bool      // a renewal is in flight
	renewalWaits bool      // the renewal in flight waits for an end
	askAgain     bool      // the next renewal does not wait; see reportMayBeStale
	lastRenewal  time.Time // when the last successful renewal was sent
	listsReadAt  time.Time // when the last renewal was sent whose lists were read; see reportMayBeStale
	answeredAt   time.Time // when it last answered a call
	listedAt     time.Time // when its entry was last seen with a new version
	nextRenewal  time.Time // when the next renewal may be sent
}

func newWorker(now time.Time, info cuminstair.WorkerInfo) *worker {
	w := &worker{attempts: map[cuminstair.TaskID]*attempt{}, stepRuns: map[stepID]int{}}
	w.knownSince = now
	w.setInfo(info)
	return w
}

// begin replaces the incarnation by a later one that has answered at the same address: on the same host, of whatever kind and capacity.
func (w *worker) begin(now time.Time, born int64) {
	old := w.info
	w.incarnation = incarnation{
		info: cuminstair.WorkerInfo{
			ID: old.ID, Service: old.Service, Addr: old.Addr, Centre: old.Centre, Host: old.Host, Incarnation: born, Version: old.Version,
		},
		knownSince: now, restarted: true,
	}
}

// entryDue reports whether the worker has restarted, and its entry has not been read since.
func (w *worker) entryDue() bool { return w.restarted && !w.listed && !w.gone }

// identity is what the next owner needs to contact the worker.
func (w *worker) identity() workerRecord {
	return workerRecord{ID: w.info.ID, Addr: w.info.Addr, Born: w.info.Incarnation, Host: w.info.Host, Long: w.restarted || w.longLease}
}

// recordAgain makes the worker wait for tasks until its present identity is stored.
func (s *Service) recordAgain(w *worker) {
	w.recorded = false
	s.recordWorker(w)
}

func (w *worker) setInfo(info cuminstair.WorkerInfo) {
	w.info, w.rack, w.cpu = info, info.Rack, info.CPU
	w.total = place.Room{CPU: info.CPU, Memory: info.Memory, Accel: info.Accel}
}

// callFailed counts a call that did not reach the worker or got no answer.
func (w *worker) callFailed(now time.Time) {
	if w.failedCalls == 0 {
		w.failingSince = now
	}
	w.failedCalls++
}

// idle reports whether the worker has no runs, and no ends that only it and this owner know of.
func (w *worker) idle() bool {
	left := w.gone || !w.listed && w.suspect()
	return len(w.attempts) == 0 && w.processed == w.stored && (left || !w.moreEnds)
}

func (w *worker) suspect() bool { return w.failedCalls >= suspectAfter }

// usable reports whether the worker may be given new tasks.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.unsized == 0 && !w.gone && w.synced && !w.unread && !w.moreEnds && w.recorded && w.leavingSince.IsZero() && !w.suspect() &&
		now.After(w.blockedUntil) && now.After(w.cordonedUntil) && !w.mayHaveMoved
}

// restartMayBeMissed reports whether a worker may have restarted lately without this owner knowing. It matters only if other
// daemons may take this one for dead: a new owner may have found the host of the worker down and have started its tasks
// elsewhere, and the worker, which has seen no token since, would carry out a start of this owner.
func (s *Service) restartMayBeMissed(now time.Time, w *worker) bool {
	return s.Grace > 0 && now.Sub(s.aliveAt) >= AliveTime && now.Sub(w.lastRenewal) > silentTimeout
}

func (w *worker) free() place.Room { return w.total.Plus(w.used, -1) }

// freeCores returns the free cores, limited by the free share of memory.
func (w *worker) freeCores() float64 {
	free := w.free()
	if w.total.Memory <= 0 {
		return float64(free.CPU) / 1000
	}
	return min(float64(free.CPU), float64(free.Memory)*float64(w.total.CPU)/float64(w.total.Memory)) / 1000
}

// coresOf returns the cores that room on the worker takes, also those that its share of the memory makes unusable.
func (w *worker) coresOf(room place.Room) float64 {
	cores := float64(room.CPU)
	if w.total.Memory > 0 {
		cores = max(cores, float64(room.Memory)*float64(w.total.CPU)/float64(w.total.Memory))
	}
	return cores / 1000
}

func (w *worker) add(a *attempt) {
	a.worker = w
	w.attempts[a.id] = a
	w.stepRuns[stepOf(a.id)]++
	w.adjustUsage(a, 1)
}

// adjustUsage adds n times the room of an attempt to the usage of the worker.
func (w *worker) adjustUsage(a *attempt, n int) {
	w.used = w.used.Plus(a.room, n)
	if a.unsized {
		w.unsized += n
	}
	if a.account != "" {
		w.shares.Charge(a.account, a.charge, n)
		if a.found {
			w.shares.ChargeFound(a.account, a.charge, n)
		}
	}
	switch {
	case a.bestEffort:
		w.bestEffort += n
	case a.longRunning:
		w.longRunning += n
	default:
		w.short = w.short.Plus(a.room, n)
	}
}

func (w *worker) remove(now time.Time, a *attempt) {
	if w.attempts[a.id] != a {
		return
	}
	delete(w.attempts, a.id)
	if id := stepOf(a.id); w.stepRuns[id] > 1 {
		w.stepRuns[id]--
	} else {
		delete(w.stepRuns, id)
	}
	w.adjustUsage(a, -1)
	if a.trial && !a.passed {
		w.trials--
	}
	w.idleSince = now
}

// SetWorkers updates the workers from the platform's list for this service.
func (s *Service) SetWorkers(now time.Time, list []cuminstair.WorkerInfo) {
	inList := map[string]bool{}
	for _, info := range list {
		inList[info.ID] = true
		w, ok := s.workers[info.ID]
		if !ok {
			w = newWorker(now, info)
			w.shares = s.limitShares
			if !s.now.IsZero() {
				w.listedAt = now // it is new; at a takeover the age of the entry is not known
			}
			s.workers[info.ID] = w
			s.recordWorker(w)
			s.changed = true
		}
		s.updateWorker(now, w, info)
	}
	cores := 0.0
	for id, w := range s.workers {
		if inList[id] {
			cores += float64(w.total.CPU) / 1000
			if w.total.CPU > s.hostCPU {
				s.hostCPU, s.hostMemory = w.total.CPU, w.total.Memory
			}
			continue
		}
		w.listed = false
		w.dropLateStarts(now)
		if w.idle() && len(w.lateStarts) == 0 && s.inheritedResolved() {
			s.settleSuspects(now, w)
			delete(s.workers, id)
			s.forgetWorker(w)
		}
	}
	s.maxCores = max(s.maxCores, cores)
}

func (s *Service) updateWorker(now time.Time, w *worker, info cuminstair.WorkerInfo) {
	switch {
	case info.Version < w.info.Version:
		return // the entry is from a stale read
	case info.Incarnation < w.info.Incarnation && info.Incarnation != 0:
		return // the entry is of an earlier incarnation
	case info.Incarnation > w.info.Incarnation && w.info.Incarnation != 0:
		s.workerRestarted(now, w, info.Incarnation, nil)
	case info.Incarnation > w.info.Incarnation:
		w.info.Incarnation, w.knownSince = info.Incarnation, now
	}
	if w.gone && info.Incarnation == w.info.Incarnation {
		return
	}
	before := w.identity()
	if info.Version > w.info.Version && w.info.Version > 0 {
		w.listedAt = now
	}
	w.setInfo(info)
	if w.identity() != before {
		s.recordAgain(w)
	}
	w.listed = true
	switch {
	case info.State != cuminstair.WorkerLeaving:
		w.leavingSince = time.Time{}
	case w.leavingSince.IsZero():
		w.leavingSince = now
		s.Log.Info("dispatch: worker is leaving", "service", s.Name, "worker", w.info.ID, "tasks", len(w.attempts), "version", info.Version)
	}
}
