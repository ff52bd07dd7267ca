package dispatch

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/locality"
	"cuminstair.org/cuminstair/place"
	"cuminstair.org/cuminstair/quota"
	"cuminstair.org/cuminstair/straggler"
)

// job is a job that is stored or is waiting to be stored.
type job struct {
	id            string
	spec          *cuminstair.JobSpec
	queue         cuminstair.WorkQueue
	account       string // client account that submitted it; empty: none
	state         cuminstair.JobState
	storedState   cuminstair.JobState // state according to the store
	firstSent     time.Time           // time of the first submission, even if it was refused
	receivedAt    time.Time           // time of the submission that was accepted
	due           time.Time           // end of its objective; unused for long-running jobs
	late          bool                // accepted although it can't finish by due
	surplus       bool                // accepted while its account was above its share
	runs          []*occurrence       // occurrences that have begun and are not done, by number
	next          int                 // number of the next occurrence to create
	stored        bool                // the job is in the store
	dirty         bool                // the progress in the store is out of date
	changes       int                 // number of the last change of the progress
	storedChanges int                 // number of the last change that is stored
	crashChange   int                 // number of the change that recorded its last crash
	finishedAt    time.Time           // when it reached its final state
	submitWaiters []func(Result)      // callers waiting for the job to be stored
	cancelWaiters []func(Result)      // callers waiting for its cancellation to be stored
	token         int64               // fencing token of the owner that accepted the job; 0: not known
	scheduled     bool                // listed in Service.scheduled
	split         bool                // its progress is in several records
	mainSum       uint64              // checksum of the main record of the progress as last written; 0: to be written
	parts         map[string]uint64   // by key: checksum of a record of split progress as last written; 0: to be written again
	inherited     bool                // accepted by an earlier owner: unknown runs of its tasks may exist
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	number    int
	job       *job
	startAt   time.Time // when its first steps may start; zero: immediately
	due       bool      // startAt had passed when its steps were last looked at
	steps     []*step
	openSteps int    // steps that are not done
	centre    string // data centre preferred for its short tasks; see Service.preferCentre
}

// step is the owner's state of a step in one occurrence of a job.
type step struct {
	cuminstair.JobStep
	index          int
	occ            *occurrence
	tasks          []*task
	tasksLeft      int             // tasks that are not done
	started        bool            // a task has started
	startedEarlier bool            // an earlier owner has started a task of it
	pathAfter      time.Duration   // longest dependency path after this step
	queued         bool            // listed in Service.ready
	latestStart    time.Time       // latest start of its tasks for the job to be in time
	rank           int             // see Service.rank
	class          int             // see Service.class
	mayRun         bool            // an earlier owner may have started its tasks on workers that have not answered
	advice         advice          // for steps of an advised queue
	saved          gangCheckpoint  // of a gang
	peers          straggler.Peers // of its tasks, if they allow copies: runs that have ended done
	heldBack       bool            // the limit of its account has kept tasks of it from starting
	rack           stepRack        // of a step that wants a rack
}

// maxListedFailures is the most failed runs of a task that are kept.
const maxListedFailures = 64

// failures returns the number of failed runs of the task.
func (t *task) failures() int { return t.earlierFailures + len(t.failed) }

// addFailure records a failed run.
func (t *task) addFailure(run int64) {
	if len(t.failed) == maxListedFailures {
		t.failed = slices.Delete(t.failed, 0, 1)
		t.earlierFailures++
	}
	t.failed = append(t.failed, run)
}

// task is the owner's state of one task of a step: its failed runs, its newest checkpoint and its current attempt.
type task struct {
	id   cuminstair.TaskID
	step *step
	done bool
	// failed has the latest failed runs, at most maxListedFailures; a list, since workers report ends in any order, and again
	// after a takeover. earlierFailures is the number of the others.
	failed          []int64
	earlierFailures int
	run             int64  // highest run number started or seen
	checkpoint      string // newest known checkpoint; a gang has one for all, see step.saved
	attempt         *attempt
	lostAt          time.Time  // when its last run was lost without a report of its end; zero: it was not
	stuckStops      int        // how often it was stopped for lack of progress
	avoidWorker     string     // worker on which the last run failed
	avoidUntil      time.Time  // until when the next run has to be on another worker
	awaySince       time.Time  // of a long-running task: since when it is down; zero: it is serving
	plannedMove     bool       // it is down because the owner moved it
	reserved        *worker    // worker last reserved for it
	crashes         []crash    // runs whose workers crashed, or may have crashed, the latest last
	trialSince      time.Time  // since when a trial finds no worker without long-running tasks; zero: it does not
	copies          []*attempt // detached runs that have not been released
	pair            *copyPair  // a slow run and its second copy, as long as both may run; nil: there is none
	copied          int        // number of second copies that were started because a run was slow
	adopted         bool       // this owner found its first run, by the owner that accepted the job, on a worker that answered
	rackWait        locality.Waiting
}

// attempt is a run of a task on a worker. Its room on the worker stays taken until the run has certainly ended.
type attempt struct {
	task        *task // nil for an unexpected or detached run
	copyOf      *task // of a detached run: its task
	id          cuminstair.TaskID
	run         int64
	worker      *worker
	room        place.Room
	account     string       // client account of its job; empty: none, or the job is not known
	charge      quota.Amount // what it takes of the limit of the account
	found       bool         // an earlier owner started it
	unsized     bool         // its room is not known, since its job is not
	longRunning bool
	bestEffort  bool
	runTimes
	percent        int           // reported progress
	progressAt     time.Time     // when percent last increased
	readAt         time.Time     // when percent was last read
	gauge          float64       // as reported, see cuminstair.RunningTask
	cpuShare       int           // CPU share of a best-effort task in percent
	pacedAt        time.Time     // when cpuShare was last changed
	shareUnsure    bool          // the worker has not confirmed cpuShare
	paceSentAt     time.Time     // when cpuShare was last ordered
	stopSentAt     time.Time     // when its stop was last ordered; zero: never
	stopUnanswered bool          // its stop was ordered only since its start had no answer
	expected       time.Duration // duration expected at its start
	resumed        bool          // started from a checkpoint
	trial          bool          // its start was a trial, see needsTrial
	passed         bool          // the trial is over: the worker has not crashed
	mayHaveEnded   bool          // it may have ended with an earlier incarnation of the worker
	adopted        bool          // it was found on the worker, so that the time of its start is unknown
}

func newJob(id string, spec *cuminstair.JobSpec, queue cuminstair.WorkQueue) *job {
	return &job{id: id, spec: spec, queue: queue, state: cuminstair.JobQueued, storedState: cuminstair.JobUnknown}
}

func (j *job) longRunning() bool {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

func (j *job) finished() bool {
	return j.state == cuminstair.JobCompleted || j.state == cuminstair.JobFailed || j.state == cuminstair.JobCancelled
}

// occurrences returns how many times the steps run.
func (j *job) occurrences() int { return max(1, j.spec.Repeats) }

// isFirstRun reports whether a run is the first one of its task: the run of a task that has run before may be a second one
// whose followers have begun.
func (j *job) isFirstRun(run int64) bool { return j.token > 0 && run == j.token*runsPerToken+1 }

// startOf returns when an occurrence may start, the zero time if at once.
func (j *job) startOf(number int) time.Time {
	if j.spec.First == 0 && j.spec.Repeats == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.spec.First).Add(time.Duration(number) * j.spec.Interval)
}

// tasks returns the number of tasks of one occurrence.
func (j *job) tasks() int {
	n := 0
	for i := range j.spec.Steps {
		n += j.spec.Steps[i].Count
	}
	return n
}

// criticalPath returns the length of the longest dependency path, where length returns the time of a step.
func criticalPath(steps []cuminstair.JobStep, length func(i int) time.Duration) time.Duration {
	end := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		begin := time.Duration(0)
		for _, a := range steps[i].After {
			begin = max(begin, end[a])
		}
		end[i] = begin + length(i)
		longest = max(longest, end[i])
	}
	return longest
}

// pathsAfter returns for each step the length of the longest dependency path after it.
func pathsAfter(steps []cuminstair.JobStep, length func(i int) time.Duration) []time.Duration {
	tail := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		for _, a := range steps[i].After {
			tail[a] = max(tail[a], tail[i]+length(i))
		}
	}
	return tail
}

// occurrence returns a new occurrence with its steps and tasks. tail is the result of pathsAfter for the job.
func (j *job) occurrence(number int, tail []time.Duration) *occurrence {
	o := &occurrence{number: number, job: j, startAt: j.startOf(number), openSteps: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{JobStep: j.spec.Steps[i], index: i, occ: o, tasksLeft: j.spec.Steps[i].Count, pathAfter: tail[i]}
		s.tasks = make([]*task, s.Count)
		for n := range s.tasks {
			s.tasks[n] = &task{id: cuminstair.TaskID{Job: j.id, Occurrence: number, Step: i, Index: n}, step: s}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// startable reports whether the step has work left, its dependencies are done and its start time has passed.
func (s *step) startable(now time.Time) bool {
	if s.tasksLeft == 0 || s.occ.job.finished() || now.Before(s.occ.startAt) {
		return false
	}
	for _, a := range s.After {
		if s.occ.steps[a].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// room is the capacity that a task of the step takes. Best-effort tasks reserve no CPU.
func (s *step) room() place.Room {
	r := place.Room{CPU: s.CPU, Memory: s.Memory, Accel: s.Accel}
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// task returns the task with an id, or nil.
func (j *job) task(id cuminstair.TaskID) *task {
	for _, o := range j.runs {
		if o.number != id.Occurrence {
			continue
		}
		if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
			return nil
		}
		return o.steps[id.Step].tasks[id.Index]
	}
	return nil
}
