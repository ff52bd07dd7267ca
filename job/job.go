// Package job places queued jobs of teams on the workers of one data centre. It learns the sizes of jobs from reported
// usage, parks jobs that fail on several good workers, quarantines workers that fail several good jobs, and makes room
// for urgent jobs by throttling or checkpointing archive tasks.
//
// A Scheduler only decides: Decide returns the tasks to start and the actions to take, and the caller, which talks to the
// platform, passes the outcomes to ActionResult, Started and Report. Workers are indexed by free cores and memory, so that
// the cost of a decision does not grow with their number. A Scheduler is not safe for concurrent use.
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
	Starting  State = "starting"  // its task has been asked for
	Running   State = "running"   // its task was reported or its start confirmed
	Throttled State = "throttled" // runs on a tenth of its cores
	Parked    State = "parked"    // not tried any more until an operator releases it
	Done      State = "done"
	Cancelled State = "cancelled"
)

// Job is the value of a job row.
type Job struct {
	ID      string           `json:"id"`              // unique
	Team    string           `json:"team"`            // names a team with a quota of cores
	Class   string           `json:"class"`           // jobs of one class have similar sizes
	Urgent  bool             `json:"urgent"`          // starts within 3.4 s
	Archive bool             `json:"archive"`         // may be throttled or checkpointed
	Cores   float64          `json:"cores"`           // as declared; may be wrong by a factor of 5
	Memory  cuminstair.Bytes `json:"memory"`          // as declared
	Accel   int              `json:"accel,omitempty"` // accelerators, as declared
	State   State            `json:"state"`
	Worker  string           `json:"worker,omitempty"`
	Task    string           `json:"task,omitempty"` // id of the current task
	Tries   int              `json:"tries"`          // tasks started so far
	Failed  []string         `json:"failed,omitempty"`
	Why     string           `json:"why,omitempty"` // the last change in words
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
	// Lease is the lease of a task; the worker stops it when it is not renewed for this long.
	Lease = 60 * time.Second
	// renewEvery leaves two more renewals when one is lost.
	renewEvery = Lease / 3
	// parkAfter is on how many good workers a job fails before it is parked.
	parkAfter = 3
	// suspectAfter is how many good jobs a worker fails before it is quarantined.
	suspectAfter = 3
	// quarantineShare bounds the quarantined workers to this fraction: when more fail jobs, the jobs are the cause.
	quarantineShare = 0.02
	// firstBackoff is how long a worker takes no new job after a failure; it doubles with each one in a row. A worker
	// that fails at once would otherwise always be free and draw every job.
	firstBackoff = 2 * time.Second
	maxBackoff   = 5 * time.Minute
	// throttledShare is the part of its cores that a throttled task keeps.
	throttledShare = 0.1
	// lookAhead is how many jobs of one team are tried when the first does not fit.
	lookAhead = 4
	// perDecide bounds the starts of one Decide.
	perDecide = 500
)

// Reason codes of jobs.
const (
	ReasonPlaced    cuminstair.Reason = "placed"
	ReasonUrgent    cuminstair.Reason = "urgent"
	ReasonNoRoom    cuminstair.Reason = "noroom"
	ReasonQuota     cuminstair.Reason = cuminstair.ReasonQuota
	ReasonNever     cuminstair.Reason = "never"  // no worker is large enough
	ReasonFailing   cuminstair.Reason = "failed" // failed on several good workers
	ReasonSuspect   cuminstair.Reason = "suspect"
	ReasonCancelled cuminstair.Reason = "cancelled"
)

// size is what a task takes from a worker.
type size struct {
	cores  float64
	memory cuminstair.Bytes
	accel  int
}
