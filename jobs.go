package cuminstair

import "time"

// TaskID names one task of a job.
type TaskID struct {
	Job        string // id of the job, 16 hexadecimal digits
	Occurrence int    // 0 for a job without repetitions
	Step       int    // index in JobSpec.Steps
	Index      int    // index in the step; 0 <= Index < JobStep.Count
}

// JobStep is a step of a job: Count equal tasks.
type JobStep struct {
	Count       int           `json:"n"`               // above zero
	CPU         int           `json:"cpu"`             // thousandths of a core that each task asks for
	Memory      int           `json:"mem"`             // MB that each task asks for
	Accel       int           `json:"acc,omitempty"`   // accelerators that each task asks for
	Estimate    time.Duration `json:"est,omitempty"`   // duration of a task as declared; may be off by a factor
	After       []int         `json:"after,omitempty"` // steps that must be done first; each smaller than the own index
	Saves       bool          `json:"saves,omitempty"` // the tasks write checkpoints
	Gang        bool          `json:"gang,omitempty"`  // the tasks run only together
	OneRack     bool          `json:"tight,omitempty"` // the tasks are slow when spread over racks
	Label       string        `json:"label,omitempty"` // label that the worker must have; empty: any worker
	DataRack    string        `json:"rack,omitempty"`  // rack on which the tasks are fast; empty: any rack
	PerWorker   int           `json:"apart,omitempty"` // tasks of the step on one worker at most; 0: no limit
	Duplicates  bool          `json:"dup,omitempty"`   // copies may run at the same time
	LongRunning bool          `json:"long,omitempty"`  // the tasks run until the job is cancelled
	Image       string        `json:"image,omitempty"` // tasks of one image behave alike
	TailTarget  time.Duration `json:"tail,omitempty"`  // bound of the response times of a long-running task; 0: none
	BestEffort  bool          `json:"fills,omitempty"` // uses the processor time that others leave; CPU is not reserved
	MayMiss     int           `json:"miss,omitempty"`  // tasks of a long-running step that planned work may hold away at once
}

// JobSpec is a job as a caller hands it in.
type JobSpec struct {
	Payload  string        `json:"spec,omitempty"` // passed to the workers unread
	Steps    []JobStep     `json:"steps"`          // at least one
	Repeats  int           `json:"times,omitempty"`
	Interval time.Duration `json:"every,omitempty"` // between the due times of two occurrences
	First    int64         `json:"first,omitempty"` // due time of the first occurrence, milliseconds since 1970
}

// JobState is what a caller is told about a job.
type JobState uint8

// States of a job.
const (
	JobUnknown   JobState = iota // no such job
	JobQueued                    // no task has started
	JobRunning                   // at least one task has started
	JobCompleted                 // every task has ended as done
	JobFailed                    // a task has used up its attempts
	JobCancelled
)

var jobStates = [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}

// String returns the name of the state for logs.
func (s JobState) String() string { return jobStates[s] }

// WorkQueue is a queue of jobs as the configuration has it.
type WorkQueue struct {
	Name     string
	Host     string        // host of the requests
	Prefix   string        // path prefix of the requests, ends with a slash
	Service  string        // pool whose workers run the tasks
	Timeout  time.Duration // bound of an answer to a caller
	Target   time.Duration // part of the latency objective that does not depend on the job
	Stretch  float64       // part of the objective as a factor of the job's longest chain
	Priority int           // 0 comes first
	Attempts int           // runs of a task that may end as failed before the job fails
	Advised  bool          // workers must be approved by the adviser; the next three are its times
	// Decision and PerWorker are what an answer of the adviser takes, Validity is how long its tickets are valid.
	Decision, PerWorker, Validity time.Duration
}

// WorkPool is a service as the configuration has it: a pool of workers.
type WorkPool struct {
	Name    string
	Spare   bool // its hosts are switched off
	Guarded bool // its workers refuse tasks that don't fit
}

// JobConfig is one version of the configuration of the job path.
type JobConfig struct {
	Version  int64
	Queues   []WorkQueue
	Pools    []WorkPool
	MaxBody  int64         // bytes of a request
	MaxHead  int           // bytes of a request's header
	HeadWait time.Duration // bound for a request's header to arrive
	IdleWait time.Duration // bound for an idle connection
}

// WorkerState tells whether a worker takes new tasks.
type WorkerState uint8

// States of a worker.
const (
	WorkerReady WorkerState = iota
	WorkerLeaving
)

// WorkerInfo is what a worker says of itself.
type WorkerInfo struct {
	ID      string
	Service string
	Addr    string // IP address and port
	Centre  string // data centre
	Host    string // the host that it is one life of; may be empty
	Born    int64  // start of this life in milliseconds since 1970; another value means that nothing is left of before
	State   WorkerState
	CPU     int // thousandths of a core
	Memory  int // MB
	Accel   int
	Labels  []string // kind and rack
	Rack    string   // the label that names the rack
	Version uint64   // version of the list entry that this was read from
}

// RunningTask is a task that a worker reports as running.
type RunningTask struct {
	Task       TaskID
	Run        int64
	Checkpoint string // newest checkpoint, empty if there is none
	Percent    int    // progress; of a long-running task 100 means at work
	// Gauge is the tail of the response times in milliseconds for a long-running task with a target, and otherwise the
	// thousandths of a core in use; over the last half second.
	Gauge float64
}

// TaskEnd tells how a run of a task ended.
type TaskEnd uint8

// Ends of a run.
const (
	EndDone    TaskEnd = iota
	EndFailed          // through its own fault or that of the worker; counts as an attempt
	EndStopped         // by an order
	EndLapsed          // its lease ran out
	EndBroken          // another task of the gang ended
	EndAlone           // the gang was not complete in time
)

// EndedTask is a run that has ended.
type EndedTask struct {
	Seq        int64 // position in the worker's list of ends; rises within one life of the worker
	Task       TaskID
	Run        int64
	How        TaskEnd
	Checkpoint string
}

// WorkerReport is a worker's answer to Hold.
type WorkerReport struct {
	Clock   time.Duration // the worker's steady clock; may run 2% slow
	Born    int64         // start of the life that answers; 0 if it does not say
	Running []RunningTask
	Ended   []EndedTask
}

// StartOrder asks a worker to start a task.
type StartOrder struct {
	Task       TaskID
	Run        int64
	Payload    string
	Lease      time.Duration // time on the worker's clock until which all that runs on it may run
	Token      int64         // fencing token
	Checkpoint string
	Ticket     string
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// HostPhase is what a host does.
type HostPhase uint8

// Phases of a host.
const (
	PhaseDown HostPhase = iota
	PhaseUp
	PhaseMoving      // between two pools
	PhaseMaintenance // down for a wave
)

// HostRecord is an entry of the list of the platform's hosts.
type HostRecord struct {
	Name   string
	Pool   string
	Phase  HostPhase
	Centre string
	Worker string // id of the worker on it, empty if there is none
}

// MaintenanceWave asks for the maintenance of hosts.
type MaintenanceWave struct {
	Number   int
	Hosts    []string
	Duration time.Duration // from its first appearance until it should be completed
	Limit    int           // hosts that may be down for it at once
}

// Bounds are the times that the platform promises or asks for.
type Bounds struct {
	MaxLease  time.Duration // longest lease that a worker grants
	StopGrace time.Duration // bound of the stop of a task
	Grace     time.Duration // between the request to stop a daemon and its kill
	TurnTime  time.Duration // between orders of two controllers for one host
	KeepState time.Duration // how long the state of a finished job is told
	Fenced    bool          // the controller of hosts checks fencing tokens
}
