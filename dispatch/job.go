package dispatch

import (
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/place"
)

// job is an accepted job, or one that waits to be stored.
type job struct {
	id       string
	spec     *cuminstair.JobSpec
	queue    cuminstair.WorkQueue
	state    cuminstair.JobState
	shown    cuminstair.JobState // the state that the store has
	sent     time.Time           // when it was first handed in, refused sendings included
	arrived  time.Time           // when the sending that was accepted came
	due      time.Time           // end of its objective; for long-running jobs unused
	late     bool                // accepted although it can't be in time
	runs     []*occurrence       // in the order of their numbers
	next     int                 // occurrences before it have been created
	stored   bool                // the store has the job
	dirty    bool                // its progress differs from the store's
	ended    time.Time           // when it reached its last state
	accepted []func(Result)      // callers that wait for it to be stored
	cancels  []func(Result)      // callers that wait for its cancellation to be stored
	old      bool                // accepted by an earlier owner, so that its tasks may run anywhere
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	number int
	job    *job
	due    time.Time // when its first steps may start; zero: at once
	steps  []*step
	open   int // steps that are not done
}

// step is a step of one occurrence.
type step struct {
	cuminstair.JobStep
	index  int
	occ    *occurrence
	tasks  []*task
	left   int           // tasks that are not done
	begun  bool          // a task has started
	tail   time.Duration // longest chain of work after this step
	listed bool          // in Service.ready
	latest time.Time     // when its tasks have to start for the job to be in time
	rank   int           // see Service.rank
	advice advice        // of an advised queue
}

// task is a task of a step.
type task struct {
	id         cuminstair.TaskID
	step       *step
	done       bool
	failed     []int64 // runs that have ended as failed; ends of several workers come in any order, and again after a takeover
	run        int64   // highest run that was started or seen
	checkpoint string  // newest that is known
	at         *attempt
	stuck      int       // times that it was stopped because it made no progress
	avoid      string    // worker on which the last run failed
	away       time.Time // of a long-running task: since when it is not at work; zero: at work
	moved      bool      // it is away because of an order of the owner
	reserved   *worker   // worker that was last reserved for it
}

// attempt is a run of a task on a worker. It holds its room there until its end is certain.
type attempt struct {
	task        *task // nil for a run that should not be there
	id          cuminstair.TaskID
	run         int64
	worker      *worker
	room        place.Room
	longRunning bool
	bestEffort  bool
	sent        time.Time     // when the order was sent, or the run first seen
	answered    time.Time     // when the order was answered or the run seen; zero: not yet
	seen        bool          // the worker has listed it as running
	missing     int           // reports in a row that should have listed it and did not
	percent     int           // progress as reported
	moved       time.Time     // when percent last rose
	gauge       float64       // as reported
	share       int           // percent of its processors that a best-effort task may use
	paced       time.Time     // when share was last ordered
	stop        time.Time     // when its stop was last ordered; zero: none
	barred      time.Time     // when the worker confirmed the stop; zero: not yet
	expected    time.Duration // duration that was expected at the start
	resumed     bool          // it was started from a checkpoint
}

func newJob(id string, spec *cuminstair.JobSpec, queue cuminstair.WorkQueue) *job {
	return &job{id: id, spec: spec, queue: queue, state: cuminstair.JobQueued, shown: cuminstair.JobUnknown}
}

func (j *job) longRunning() bool {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

func (j *job) over() bool {
	return j.state == cuminstair.JobCompleted || j.state == cuminstair.JobFailed || j.state == cuminstair.JobCancelled
}

// occurrences returns how often the steps run.
func (j *job) occurrences() int { return max(1, j.spec.Repeats) }

// chain returns the longest chain of the steps, each taking the time that length returns.
func chain(steps []cuminstair.JobStep, length func(i int) time.Duration) time.Duration {
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

// tails returns for each step the longest chain of work after it.
func tails(steps []cuminstair.JobStep, length func(i int) time.Duration) []time.Duration {
	tail := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		for _, a := range steps[i].After {
			tail[a] = max(tail[a], tail[i]+length(i))
		}
	}
	return tail
}

// occurrence creates the steps of the next occurrence.
func (j *job) occurrence(number int, tail []time.Duration) *occurrence {
	o := &occurrence{number: number, job: j, open: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{JobStep: j.spec.Steps[i], index: i, occ: o, left: j.spec.Steps[i].Count, tail: tail[i]}
		s.tasks = make([]*task, s.Count)
		for n := range s.tasks {
			s.tasks[n] = &task{id: cuminstair.TaskID{Job: j.id, Occurrence: number, Step: i, Index: n}, step: s}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// open tells whether the steps before this one are done and its time has come.
func (s *step) open(now time.Time) bool {
	if s.left == 0 || s.occ.job.over() || now.Before(s.occ.due) {
		return false
	}
	for _, a := range s.After {
		if s.occ.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// room is what a task takes from a worker.
func (s *step) room() place.Room {
	r := place.Room{CPU: s.CPU, Memory: s.Memory, Accel: s.Accel}
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// task returns the task that an id names, or nil.
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
