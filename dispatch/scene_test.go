package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
)

// Sizes of the hosts of a scene. Only large hosts have room for a large task.
const (
	largeHost = 32000
	smallHost = 8000
	largeCPU  = 20000
)

// newScene returns a walk without random faults, with hosts of the given sizes, one in each data centre in turn. The first
// daemon owns the service.
func newScene(t *testing.T, sizes ...int) *walk {
	t.Helper()
	w := emptyWalk(1)
	w.manual = true
	for _, cpu := range sizes {
		w.addHost(cpu)
	}
	for _, h := range w.hosts {
		h.proc.rate = 1
	}
	for _, d := range w.daemons {
		d.boot()
	}
	w.runFor(time.Second)
	w.takes(1)
	w.runFor(time.Second)
	if w.daemons[0].runner == nil {
		t.Fatal("the first daemon doesn't own the service")
	}
	t.Cleanup(func() {
		if w.broken != "" {
			t.Error(w.broken)
		}
	})
	return w
}

// takes makes daemon n take the service over.
func (w *walk) takes(n int) { w.daemons[n-1].snatch(5) }

func (w *walk) runFor(d time.Duration) {
	end := w.sim.now.Add(d)
	for len(w.sim.queue) > 0 && !w.sim.queue[0].at.After(end) && w.broken == "" {
		w.sim.step()
	}
	w.sim.now = end
}

// give submits a job whose tasks each work for some time, and waits until it is accepted.
func (w *walk) give(work time.Duration, spec *cuminstair.JobSpec) *modelJob {
	j := &modelJob{id: taskName(len(w.list) + 1), spec: spec}
	for i := range spec.Steps {
		spec.Steps[i].Estimate = work
		j.work = append(j.work, work)
	}
	w.jobs[j.id] = j
	w.list = append(w.list, j)
	w.submit(j)
	for range 20 {
		if !j.accepted {
			w.runFor(10 * time.Millisecond)
		}
	}
	return j
}

func taskName(n int) string { return "000000000000000" + string(rune('0'+n)) }

func largeTask() cuminstair.JobStep { return cuminstair.JobStep{Count: 1, CPU: largeCPU, Memory: 1000} }

func jobOf(steps ...cuminstair.JobStep) *cuminstair.JobSpec { return &cuminstair.JobSpec{Steps: steps} }

// cutFirstOwner keeps the first daemon from the store and the other daemons from telling it to stop.
func (w *walk) cutFirstOwner(t time.Duration) {
	d := w.daemons[0]
	w.disturb(d, "store", linkCut, t)
	for _, x := range w.daemons {
		w.disturb(x, d.name, linkCut, t)
	}
}

// cutPath cuts the path from a daemon to a host.
func (w *walk) cutPath(n int, h *modelHost, t time.Duration) {
	w.disturb(w.daemons[n-1], h.addr, linkCut, t)
}

// active counts the active runs of a job.
func (w *walk) activeRuns(j *modelJob) int {
	n := 0
	for _, h := range w.hosts {
		if h.proc == nil {
			continue
		}
		for _, r := range h.proc.runs {
			if r.task.Job == j.id {
				n++
			}
		}
	}
	return n
}

// restart crashes the worker of a host and starts it again under its id.
func (w *walk) restart(h *modelHost, after time.Duration) {
	id := h.proc.info.ID
	w.note("platform", "worker crashes", "worker", id)
	h.proc.die(true)
	w.setPhase(h, cuminstair.PhaseDown, "s")
	w.runFor(after)
	w.startProcess(h, id)
}

// Guards against an owner that relies on the stop of its predecessor although the owner before that one, which is cut off,
// still gives orders.
func TestThirdOwnerWaitsForTheFirst(t *testing.T) {
	w := newScene(t, largeHost, smallHost, smallHost)
	j := w.give(30*time.Second, jobOf(largeTask()))
	w.runFor(time.Second)
	if w.activeRuns(j) != 1 {
		t.Fatal("the task does not run")
	}
	w.cutCentres[0] = w.sim.now.Add(30 * time.Second) // with the first daemon and the task
	w.takes(2)
	w.runFor(500 * time.Millisecond)
	w.daemons[1].runner.handOver()
	w.runFor(100 * time.Millisecond)
	w.takes(3)
	w.addHost(smallHost)
	w.addHost(largeHost) // in another data centre
	w.runFor(12 * time.Second)
	if w.activeRuns(j) != 1 {
		t.Error("the task was not started again")
	}
}

// Guards against counting only the present owner's leases for a worker that has restarted under its id: an order with a
// lease on the clock of the earlier incarnation gives the new one the longest lease there is.
func TestLeaseOfTheEarlierIncarnation(t *testing.T) {
	w := newScene(t, largeHost)
	w.runFor(60 * time.Second)
	j := w.give(30*time.Second, jobOf(largeTask()))
	w.runFor(time.Second)
	id := w.hosts[0].proc.info.ID
	w.hosts[0].proc.die(true)
	w.disturb(w.daemons[0], "store", linkCut, time.Second) // so that a renewal comes before the list of workers
	w.runFor(400 * time.Millisecond)
	w.startProcess(w.hosts[0], id)
	for range 100 {
		if w.activeRuns(j) == 0 {
			w.runFor(50 * time.Millisecond)
		}
	}
	if w.activeRuns(j) != 1 {
		t.Fatal("the task was not started again")
	}
	w.cutPath(1, w.hosts[0], 30*time.Second)
	w.addHost(largeHost)
	w.runFor(15 * time.Second)
	if w.activeRuns(j) != 1 {
		t.Error("the task was not started elsewhere")
	}
}

// Guards against a renewal of the earlier owner that waits at a worker while a new owner adopts the run: both learn of its
// end, and both start the task again.
func TestWaitingRenewalOfTheEarlierOwner(t *testing.T) {
	w := newScene(t, largeHost)
	w.give(20*time.Second, jobOf(largeTask()))
	first := w.hosts[0]
	second := w.addHost(largeHost)
	w.runFor(time.Second)
	w.cutFirstOwner(10 * time.Second)
	w.cutPath(2, second, 10*time.Second)
	w.addHost(largeHost) // unknown to the first owner
	w.runFor(550 * time.Millisecond)
	w.takes(2)
	w.runFor(150 * time.Millisecond)
	for len(first.proc.runs) > 0 {
		first.proc.end(first.proc.runs[0], cuminstair.EndFailed)
	}
	w.runFor(3 * time.Second)
}

// Guards against an earlier owner that goes on with a worker which has restarted and knows no fencing token, while the new
// owner takes the worker as gone.
func TestRestartedWorkerIsNotUsedByTheEarlierOwner(t *testing.T) {
	w := newScene(t, largeHost)
	w.give(60*time.Second, jobOf(cuminstair.JobStep{Count: 1, CPU: 1000, Memory: 1000})) // makes the first daemon call the worker
	w.runFor(2 * time.Second)
	w.addHost(largeHost)
	w.runFor(time.Second)
	spec := jobOf(largeTask())
	spec.First = w.sim.now.Add(4500 * time.Millisecond).UnixMilli()
	w.give(10*time.Second, spec)
	w.cutCentres[0] = w.sim.now.Add(30 * time.Second) // with the first daemon and the task
	w.takes(2)
	w.restart(w.hosts[0], 2*time.Second)
	w.runFor(8 * time.Second)
}

// newSceneWithTimedJob returns a scene with one host, which is idle and has just answered the first owner, and a job that is due
// after a time. The first owner is kept from the store and the other daemons.
func newSceneWithTimedJob(t *testing.T, due time.Duration) (*walk, *modelJob) {
	w := newScene(t, largeHost)
	w.runFor(2 * time.Second)
	w.give(50*time.Millisecond, jobOf(largeTask()))
	w.runFor(200 * time.Millisecond)
	spec := jobOf(largeTask())
	spec.First = w.sim.now.Add(due).UnixMilli()
	j := w.give(30*time.Second, spec)
	w.cutFirstOwner(20 * time.Second)
	return w, j
}

// Guards against an earlier owner that starts a task on an idle worker which has restarted and knows no fencing token, while the
// new owner takes the worker as gone and has started the task elsewhere. The earlier owner was cut off, or frozen for a time.
func TestIdleWorkerThatHasRestartedIsNotUsedByTheEarlierOwner(t *testing.T) {
	const due = 3500 * time.Millisecond
	for _, frozen := range []time.Duration{0, due + 100*time.Millisecond} {
		t.Run(frozen.String(), func(t *testing.T) {
			w, j := newSceneWithTimedJob(t, due)
			w.daemons[0].freeze(frozen)
			w.addHost(largeHost) // unknown to the first owner
			w.runFor(500 * time.Millisecond)
			w.takes(2)
			w.restart(w.hosts[0], due-600*time.Millisecond)
			w.runFor(6 * time.Second)
			if w.activeRuns(j) != 1 {
				t.Error("the task does not run")
			}
		})
	}
}

// Guards against an owner that places no tasks while the store is away, since it has not asked its idle workers lately.
func TestIdleWorkersAreUsedWhileTheStoreIsAway(t *testing.T) {
	const due = 3500 * time.Millisecond
	w, j := newSceneWithTimedJob(t, due)
	w.runFor(due + 50*time.Millisecond)
	if w.activeRuns(j) != 1 {
		t.Error("the task was not started in time")
	}
}

// Guards against a second run of a step after a gang: a new owner that found one task of the gang takes the step as not
// started, but the earlier owner, which is cut off, may have learned of the end of the gang from the worker of another
// task.
func TestStepAfterAGangThatIsPartlyAdopted(t *testing.T) {
	w := newScene(t, largeHost, largeHost)
	gang := largeTask()
	gang.Count, gang.Gang = 2, true
	next := largeTask()
	next.After = []int{0}
	j := w.give(4*time.Second, jobOf(gang, next))
	w.runFor(300 * time.Millisecond)
	if w.activeRuns(j) != 2 {
		t.Fatal("the gang does not run")
	}
	first, second := w.hosts[0], w.hosts[1]
	w.cutFirstOwner(20 * time.Second)
	w.cutPath(1, first, 20*time.Second)
	w.cutPath(2, second, 20*time.Second)
	w.takes(2)
	w.runFor(10 * time.Second)
}

// runUntil runs the walk until a condition holds.
func (w *walk) runUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		w.runFor(time.Millisecond)
	}
	t.Fatal("not reached: " + what)
}

// Guards against an owner that counts as confirmed from the time at which it processed the answer to its takeover: if it
// was frozen meanwhile, another daemon has taken over since.
func TestFreezeDuringATakeover(t *testing.T) {
	w := newScene(t, largeHost, smallHost, smallHost)
	j := w.give(30*time.Second, jobOf(largeTask()))
	w.runFor(time.Second)
	second, third := w.daemons[3], w.daemons[1] // the second owner is in the data centre of the task
	w.daemons[0].kill()
	w.takes(4)
	w.runUntil(t, "the second owner has written the owner record", func() bool { return w.store.owner.name == second.name })
	second.freeze(3 * time.Second)
	w.disturb(third, second.name, linkCut, 30*time.Second)
	w.cutPath(2, w.hosts[0], 30*time.Second)
	w.takes(2)
	w.runUntil(t, "the third owner", func() bool { return third.runner != nil })
	w.runFor(2900 * time.Millisecond)
	w.runUntil(t, "the second owner", func() bool { return second.runner != nil })
	w.cutCentres[0] = w.sim.now.Add(30 * time.Second)
	w.addHost(smallHost)
	w.addHost(largeHost) // in another data centre
	w.runFor(12 * time.Second)
	if w.activeRuns(j) != 1 {
		t.Error("the task was not started again")
	}
}

// Guards against an owner that starts the tasks of a worker again which has been replaced, although the store has not
// confirmed it since: a newer owner may have read and acknowledged their ends before.
func TestReplacedWorkerOfAnOwnerThatIsNotConfirmed(t *testing.T) {
	w := newScene(t, largeHost)
	w.give(20*time.Second, jobOf(largeTask()))
	w.runFor(200 * time.Millisecond)
	first := w.hosts[0]
	second := w.addHost(largeHost)
	first.proc.leaving = true // so that its end is no crash
	w.register(first.proc)
	w.runFor(time.Second)
	w.cutFirstOwner(20 * time.Second)
	w.cutPath(1, first, 2500*time.Millisecond)
	w.cutPath(2, second, 20*time.Second)
	w.takes(2)
	w.runFor(500 * time.Millisecond)
	for len(first.proc.runs) > 0 {
		first.proc.end(first.proc.runs[0], cuminstair.EndDone)
	}
	w.runFor(1500 * time.Millisecond) // the second owner acknowledges the end
	first.proc.die(true)
	w.startProcess(first, w.newLife(first))
	w.runFor(4 * time.Second)
}
