package cuminstair

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"
)

// TaskID names one task of a job.
type TaskID struct {
	Job        string // job ID, 16 hexadecimal digits
	Occurrence int    // 0 for a job that does not repeat
	Step       int    // index in JobSpec.Steps
	Index      int    // index in the step; 0 <= Index < JobStep.Count
}

// JobStep is a step of a job, which consists of Count identical tasks.
type JobStep struct {
	Count          int           `json:"n"`               // above zero
	CPU            int           `json:"cpu"`             // requested for each task, in thousandths of a core
	Memory         int           `json:"mem"`             // requested for each task, in MB
	Accel          int           `json:"acc,omitempty"`   // accelerators requested for each task
	Estimate       time.Duration `json:"est,omitempty"`   // declared duration of a task, may be off by some factor; 0: default
	After          []int         `json:"after,omitempty"` // steps that must be done first; lower indexes than its own
	Checkpoints    bool          `json:"saves,omitempty"` // the tasks write checkpoints
	Gang           bool          `json:"gang,omitempty"`  // gang scheduling: the tasks run only together
	OneRack        bool          `json:"tight,omitempty"` // the tasks are slow when they are on several racks
	Label          string        `json:"label,omitempty"` // label that the worker must have; empty: any worker
	DataRack       string        `json:"rack,omitempty"`  // rack on which the tasks are fast; empty: any rack
	PerWorker      int           `json:"apart,omitempty"` // maximum number of tasks of the step on one worker; 0: no limit
	Duplicates     bool          `json:"dup,omitempty"`   // several copies of a task may run at the same time
	LongRunning    bool          `json:"long,omitempty"`  // the tasks run until the job is cancelled
	Image          string        `json:"image,omitempty"` // tasks of the same image are assumed to behave alike
	TailTarget     time.Duration `json:"tail,omitempty"`  // target for the tail latency of a long-running task; 0: none
	BestEffort     bool          `json:"fills,omitempty"` // uses only idle processor time; CPU is not reserved
	MaxUnavailable int           `json:"miss,omitempty"`  // tasks of a long-running step that planned work may keep down at once
}

// JobSpec is a job as a caller submits it.
type JobSpec struct {
	Payload  string        `json:"spec,omitempty"`  // opaque, passed on to the workers
	Steps    []JobStep     `json:"steps"`           // at least one
	Repeats  int           `json:"times,omitempty"` // number of occurrences; 0: the job does not repeat
	Interval time.Duration `json:"every,omitempty"` // time between the due times of two occurrences
	First    int64         `json:"first,omitempty"` // due time of the first occurrence, milliseconds since 1970
}

// MaxSteps is the number of steps that a job may have.
const MaxSteps = 64

// Other limits of a job.
const (
	maxStepTasks = 4096                 // in one step
	maxJobTasks  = 8192                 // in all steps together
	maxResource  = 1_000_000_000        // of each resource that a task requests
	maxDuration  = 365 * 24 * time.Hour // of a task, or between two occurrences
)

// Validate checks a job from outside: a caller, another daemon or a record. Error: ErrMalformed, with the invalid field.
func (j *JobSpec) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("steps: %d, at least 1 and at most %d: %w", len(j.Steps), MaxSteps, ErrMalformed)
	}
	if j.Repeats < 0 || j.Interval < 0 || j.Interval > maxDuration {
		return fmt.Errorf("repetitions or interval out of range: %w", ErrMalformed)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		total += j.Steps[i].Count
	}
	if total > maxJobTasks {
		return fmt.Errorf("steps: %d tasks in all, at most %d: %w", total, maxJobTasks, ErrMalformed)
	}
	return nil
}

// validate checks step i.
func (s *JobStep) validate(i int) error {
	if s.Count < 1 || s.Count > maxStepTasks {
		return fmt.Errorf("steps[%d].count: %d, at least 1 and at most %d: %w", i, s.Count, maxStepTasks, ErrMalformed)
	}
	for _, n := range [...]int{s.CPU, s.Memory, s.Accel, s.PerWorker, s.MaxUnavailable} {
		if n < 0 || n > maxResource {
			return fmt.Errorf("steps[%d]: %d is out of range: %w", i, n, ErrMalformed)
		}
	}
	if s.Estimate < 0 || s.Estimate > maxDuration || s.TailTarget < 0 || s.TailTarget > maxDuration {
		return fmt.Errorf("steps[%d]: duration out of range: %w", i, ErrMalformed)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return fmt.Errorf("steps[%d].after: %d is not an earlier step: %w", i, a, ErrMalformed)
		}
	}
	return nil
}

// JobState is the state of a job as it is reported to callers.
type JobState uint8

// States of a job.
const (
	JobUnknown   JobState = iota // no such job
	JobQueued                    // no task has started
	JobRunning                   // at least one task has started
	JobCompleted                 // every task ended with EndDone
	JobFailed                    // the attempts of a task are used up
	JobCancelled
)

var jobStates = [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}

// String returns the name of the state for logs.
func (s JobState) String() string { return jobStates[s] }

// WorkQueue is the configuration of a job queue.
type WorkQueue struct {
	Name         string
	Host         string        // Host header of the requests
	Prefix       string        // path prefix of the requests; ends with a slash
	Service      string        // service whose workers run the tasks
	Since        int64         // version of the configuration since which it does; 0: not known
	Timeout      time.Duration // time limit for an answer to a caller
	Target       time.Duration // constant part of the latency objective
	TargetFactor float64       // variable part: multiple, at least 1, of the duration of the job's longest chain of steps
	Priority     int           // 0 is the highest
	Attempts     int           // failed runs of one task after which the job fails
	Anonymous    bool          `json:",omitempty"` // calls need no key of a client account
	Advised      bool          // the adviser must approve the workers of a step
	// To answer, the adviser takes Decision plus PerWorker for each worker. Its tickets are valid for Validity.
	Decision, PerWorker, Validity time.Duration
}

// plainQueue is a WorkQueue without its methods.
type plainQueue WorkQueue

// encodedQueue is a WorkQueue in records and in calls between daemons.
type encodedQueue struct {
	plainQueue
	Stretch float64 // TargetFactor, as earlier versions call it
}

// MarshalJSON implements json.Marshaler.
func (q WorkQueue) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(encodedQueue{plainQueue(q), q.TargetFactor})
	if err != nil {
		return nil, fmt.Errorf("encode queue %s: %w", q.Name, err)
	}
	return data, nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (q *WorkQueue) UnmarshalJSON(data []byte) error {
	var e encodedQueue
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("decode queue: %w", err)
	}
	*q = WorkQueue(e.plainQueue)
	if q.TargetFactor == 0 {
		q.TargetFactor = e.Stretch
	}
	return nil
}

// WorkPool is the configuration of a service on the job path: a pool of workers.
type WorkPool struct {
	Name    string
	Spare   bool // its hosts are switched off
	Guarded bool // its workers refuse tasks that exceed their free resources
}

// KeySum is the SHA-256 sum of a key of a client account.
type KeySum [sha256.Size]byte

// Resources is an amount of each resource.
type Resources struct {
	CPU    int // thousandths of a core
	Memory int // MB
	Accel  int // accelerators
}

// ClientAccount is the configuration of a client account.
type ClientAccount struct {
	Name     string
	Priority int
	Weight   float64   // relative share of the room when all of it is in use
	Limit    Resources // of its running tasks on the workers of all services; 0: no limit
}

// JobConfig is one version of the configuration of the job path.
type JobConfig struct {
	Version  int64
	Queues   []WorkQueue
	Pools    []WorkPool
	Accounts []ClientAccount   // sorted by name; nil: calls are not checked for a key
	Keys     map[KeySum]string // by sum of a key: name of its account
	MaxBody  int64             // bytes of a request body
	MaxHead  int               // bytes of a request header
	HeadWait time.Duration     // time limit for receiving a request header
	IdleWait time.Duration     // time limit for an idle connection
}

// WorkerState tells whether a worker takes new tasks.
type WorkerState uint8

// States of a worker.
const (
	WorkerReady WorkerState = iota
	WorkerLeaving
)

// WorkerInfo is the description of a worker in the list of workers.
type WorkerInfo struct {
	ID          string
	Service     string
	Addr        string // IP address and port
	Centre      string // data centre
	Host        string // host that it runs on; may be empty
	Incarnation int64  // start of this incarnation, milliseconds since 1970; no task of an earlier incarnation still runs
	State       WorkerState
	CPU         int // thousandths of a core
	Memory      int // MB
	Accel       int
	Labels      []string // kind and rack
	Rack        string   // the label that names the rack
	Version     uint64   // version of the list entry that this was read from
}

// RunningTask is a task that a worker reports as running.
type RunningTask struct {
	Task       TaskID
	Run        int64
	Checkpoint string // newest checkpoint, empty if there is none
	Percent    int    // progress; for a long-running task 100 means that it is up and working
	// Gauge is the tail latency in milliseconds of a long-running task with a TailTarget, and the thousandths of a core
	// in use of any other task, both over the last half second.
	Gauge float64
}

// TaskEnd tells how a run of a task ended.
type TaskEnd uint8

// Ends of a run.
const (
	EndDone           TaskEnd = iota
	EndFailed                 // the task or the worker failed; counts towards WorkQueue.Attempts unless the task is long-running
	EndStopped                // stopped by an order
	EndLeaseExpired           // its lease expired
	EndGangBroken             // another task of the gang ended
	EndGangIncomplete         // the other tasks of the gang did not start in time
)

var taskEnds = [...]string{"done", "failed", "stopped", "lease expired", "gang broken", "gang incomplete"}

// String returns the name of the end for logs.
func (e TaskEnd) String() string { return taskEnds[e] }

// EndedTask is a run that has ended.
type EndedTask struct {
	Seq        int64 // position in the worker's list of ended runs; increases within one incarnation of the worker
	Task       TaskID
	Run        int64
	How        TaskEnd
	Checkpoint string
}

// WorkerReport is a worker's answer to Hold.
type WorkerReport struct {
	Clock       time.Duration // monotonic clock of the worker; may run 2% slow
	Incarnation int64         // WorkerInfo.Incarnation of the worker that answers; 0 if not reported
	Running     []RunningTask
	Ended       []EndedTask
	More        bool // Ended lacks later ends; the worker lists them once these are acknowledged
	// The acknowledgement, or the lease, was not sent, since a later incarnation could have received it.
	AckWithheld, LeaseWithheld bool
}

// StartOrder asks a worker to start a task.
type StartOrder struct {
	Task       TaskID
	Run        int64
	Payload    string
	Lease      time.Duration // time on the worker's clock until which all tasks of the worker may run
	Token      int64         // fencing token
	Checkpoint string
	Ticket     string // adviser's ticket for this worker; empty if the queue needs no advice
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// HostPhase is the state of a host in the platform's list.
type HostPhase uint8

// Phases of a host.
const (
	PhaseUnknown HostPhase = iota
	PhaseDown              // runs nothing
	PhaseUp
	PhaseMoving      // between two pools
	PhaseMaintenance // down for the maintenance of a wave
)

// HostRecord is an entry of the list of the platform's hosts.
type HostRecord struct {
	Name   string
	Pool   string
	Phase  HostPhase
	Centre string
	Worker string // ID of the worker on it; empty if there is none
}

// MaintenanceWave is a request to maintain a set of hosts.
type MaintenanceWave struct {
	Number   int
	Hosts    []string
	Duration time.Duration // time in which the wave should be completed, counted from when it was first seen
	Limit    int           // hosts that may be down for it at the same time
}

// Bounds are the time limits that the platform guarantees or requires.
type Bounds struct {
	MaxLease       time.Duration // longest lease that a worker grants
	StopGrace      time.Duration // time limit for stopping a task
	Grace          time.Duration // time between the request to stop a daemon and killing it
	HandoverDelay  time.Duration // minimum time between orders of two controllers for one host
	StateRetention time.Duration // how long the state of a finished job can be queried
	Fenced         bool          // HostControl checks fencing tokens
	RemoteFactor   float64       // how many times as long a task takes away from the rack of its data or its step; 0: not known
}
