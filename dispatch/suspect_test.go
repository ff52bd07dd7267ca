package dispatch

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

var suspectTime = time.UnixMilli(1_700_000_000_000)

// suspectService returns a service with one task for each of the given lists of crashes, each in a job of its own, and
// with the workers a and b, which do not answer and are suspected to have crashed.
func suspectService(crashes ...[]crash) (*Service, []*task) {
	s := New("s", 200, suspectTime, hclog.NewNullLogger())
	s.now = suspectTime
	for _, id := range []string{"a", "b"} {
		w := newWorker(suspectTime, cuminstair.WorkerInfo{ID: id, Host: "h" + id})
		w.recorded, w.suspectsKnown = true, true
		s.workers[id], s.inherited[id] = w, true
	}
	var tasks []*task
	for i, list := range crashes {
		j := newJob(string(rune('A'+i)), &cuminstair.JobSpec{Steps: []cuminstair.JobStep{{Count: 1, CPU: 1000}}}, cuminstair.WorkQueue{Name: "q"})
		j.stored, j.state = true, cuminstair.JobRunning
		s.jobs[j.id] = j
		s.activate(suspectTime, j)
		t := j.runs[0].steps[0].tasks[0]
		for _, c := range list {
			s.addCrash(t, c)
		}
		tasks = append(tasks, t)
	}
	return s, tasks
}

// Guards against trials of all suspects of a crash whose cause is known.
func TestKnownCauseClearsTheOtherSuspects(t *testing.T) {
	is := is.New(t)
	shared := crash{Run: 1, Worker: "a", Confirmed: true, Started: true, Early: true}
	alone := crash{Run: 2, Worker: "b", Confirmed: true, Started: true, Early: true, Alone: true}
	other := crash{Run: 1, Worker: "c", Confirmed: true, Started: true, Early: true}
	s, tasks := suspectService([]crash{shared, alone}, []crash{shared}, []crash{other})
	is.True(tasks[1].needsTrial())
	s.giveUpCrashing(suspectTime, tasks[0])
	is.Equal(tasks[0].step.occ.job.state, cuminstair.JobFailed)
	is.True(!tasks[1].needsTrial())
	is.True(tasks[2].needsTrial()) // of another crash
	is.Equal(len(tasks[1].crashes), 1)
}

// Guards against suspects that wait for ever for a worker whose host has another one: it never answers again.
func TestSuspectsOfAReplacedWorkerAreSettled(t *testing.T) {
	for _, refused := range []bool{true, false} {
		is := is.New(t)
		s, tasks := suspectService([]crash{{Run: 1, Worker: "a", Early: true}, {Run: 2, Worker: "b", Early: true}})
		for _, id := range []string{"a", "b"} {
			w := s.workers[id]
			w.suspects, w.connRefused, w.failedCalls = tasks, refused, 1
		}
		tasks[0].step.occ.job.storedChanges = tasks[0].step.occ.job.crashChange
		is.True(!tasks[0].mayStart())
		hosts := []cuminstair.HostRecord{
			{Name: "ha", Pool: "s", Phase: cuminstair.PhaseUp, Worker: "x"}, {Name: "hb", Pool: "s", Phase: cuminstair.PhaseUp, Worker: "y"},
		}
		s.SetHosts(suspectTime, suspectTime, hosts)
		tasks[0].step.occ.job.storedChanges = tasks[0].step.occ.job.changes
		is.True(tasks[0].mayStart())
		crashes := 0
		if refused {
			crashes = 2 // both have ended
		}
		is.Equal(len(tasks[0].crashes), crashes)
	}
}

// Guards against a reservation that has run out on a worker that can't be used: it would take a place among the workers
// for trials for good.
func TestReservationThatHasRunOutIsNoTrial(t *testing.T) {
	is := is.New(t)
	s, tasks := suspectService([]crash{{Run: 1, Worker: "a", Confirmed: true, Early: true}})
	s.workers["b"].reserve(suspectTime, tasks[0])
	s.countTrials()
	is.Equal(s.trials, 1)
	s.now = suspectTime.Add(reservationTTL)
	s.countTrials()
	is.Equal(s.trials, 0)
}
