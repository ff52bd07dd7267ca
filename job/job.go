// Package job places queued jobs of teams on the workers of one data centre. It learns the sizes of jobs from reported
// usage, parks jobs that fail on several workers, quarantines workers on which several jobs fail that run longer
// elsewhere, and frees capacity for urgent jobs by throttling or checkpointing archive tasks.
//
// A Scheduler only decides: Decide returns the tasks to start and the actions to take, and the caller, which talks to
// the platform, passes the outcomes to ActionResult, StartResult and Report. Workers are indexed by free cores and
// memory, so that the cost of a decision does not grow with their number. A Scheduler is not safe for concurrent use.
package job

import (
	"embed"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/chart"
)

//go:embed job.chart.json
var files embed.FS

var jobChart = chart.MustLoad(files, "job.chart.json")

// Prefix is the key prefix of job rows.
const Prefix = "job/"

// Key returns the key of a job's row.
func Key(centre, id string) string { return Prefix + centre + "/" + id }

// State is a state of the job chart.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Starting  State = "starting"  // the start of its task was requested
	Running   State = "running"   // its task was reported, or the platform accepted the start
	Throttled State = "throttled" // runs with a tenth of its cores
	Parked    State = "parked"    // not started again until an operator releases it
	Done      State = "done"
	Cancelled State = "cancelled"
)

// Job is the value of a job row.
type Job struct {
	ID      string           `json:"id"`              // unique
	Team    string           `json:"team"`            // team whose quota of cores the job counts against
	Class   string           `json:"class"`           // jobs of one class have similar sizes
	Urgent  bool             `json:"urgent"`          // must start within 3.4 s
	Archive bool             `json:"archive"`         // may be throttled or checkpointed
	Cores   float64          `json:"cores"`           // as declared; may be wrong by a factor of 5
	Memory  cuminstair.Bytes `json:"memory"`          // as declared
	Accel   int              `json:"accel,omitempty"` // accelerators, as declared
	State   State            `json:"state"`
	Worker  string           `json:"worker,omitempty"`
	Task    string           `json:"task,omitempty"`   // id of the current task
	Tries   int              `json:"tries"`            // tasks started so far
	Failed  []string         `json:"failed,omitempty"` // workers on which it failed, except those quarantined since
	Lost    int              `json:"lost,omitempty"`   // workers lost one after the other soon after they had started it
	Why     string           `json:"why,omitempty"`    // explanation of the last change
}

// Worker is a host that runs tasks.
type Worker struct {
	Name   string
	Cores  float64
	Memory cuminstair.Bytes
	Accel  int
}

// Times and limits of the scheduler.
const (
	// Lease is the duration of a task's lease; the worker stops a task whose lease is not renewed for this long.
	Lease = 60 * time.Second
	// renewEvery is the renewal period. After a lost renewal, at least one more is sent before the lease expires.
	renewEvery = Lease / 3
	// parkAfter is the number of workers on which a job fails before it is parked. Failures on a worker no longer count
	// once it is quarantined.
	parkAfter = 3
	// lostSoon is how long a task may have run on a worker that is lost for the job to be the possible cause. A job is
	// parked after parkAfter such losses one after the other.
	lostSoon = time.Minute
	// quarantineAfter is the number of jobs that fail on a worker and later run longer on another before the worker is
	// quarantined.
	quarantineAfter = 3
	// maxQuarantined is the largest fraction of workers in quarantine: if jobs fail on more, the jobs are the cause.
	maxQuarantined = 0.02
	// firstBackoff is how long a worker gets no new job after a failure; it doubles with each consecutive failure, up to
	// maxBackoff. Without it, a worker on which tasks fail at once would always be free and be given every job.
	firstBackoff = 2 * time.Second
	maxBackoff   = 5 * time.Minute
	// throttledShare is the fraction of its cores that a throttled task keeps.
	throttledShare = 0.1
	// lookAhead is the number of queued jobs of one team that are tried in turn when the first does not fit.
	lookAhead = 4
	// maxStarts is the maximum number of starts from the queues of teams, and of searches for urgent jobs, in one Decide.
	maxStarts = 500
)

// Reason codes of jobs.
const (
	ReasonPlaced    cuminstair.Reason = "placed"
	ReasonUrgent    cuminstair.Reason = "urgent"
	ReasonNoRoom    cuminstair.Reason = "noroom"
	ReasonQuota     cuminstair.Reason = cuminstair.ReasonQuota
	ReasonNever     cuminstair.Reason = "never"  // no worker is large enough
	ReasonFailing   cuminstair.Reason = "failed" // failed on parkAfter workers
	ReasonSuspect   cuminstair.Reason = "suspect"
	ReasonCancelled cuminstair.Reason = "cancelled"
)

// size is the resources of a worker that a task uses.
type size struct {
	cores  float64
	memory cuminstair.Bytes
	accel  int
}
