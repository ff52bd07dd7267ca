// Package dispatch runs the jobs of one service: it accepts them, places their tasks on workers under leases and a
// fencing token, records how the tasks end, and reports job states.
//
// A Service is a state machine. Its methods take an event and a time; Decide then returns the orders to send to
// workers, and Batch the records to write. It uses no goroutines, sockets or clocks and is not safe for concurrent use.
package dispatch

import "time"

// Times and limits of a service.
const (
	// Lease is the longest time that a worker runs tasks without a renewal from the owner.
	Lease = 4 * time.Second
	// maxClockSlowdown is the greatest fraction by which a worker's clock may run slower than the owner's.
	maxClockSlowdown = 0.02
	// maxClockAge is the age of a reading of an idle worker's clock after which it is read again. The lease of its next task
	// is shorter by the possible error.
	maxClockAge = 30 * time.Second
	// leaseMargin covers the resolution of the workers' clocks.
	leaseMargin = 100 * time.Millisecond
	// renewInterval is the longest time between two renewals of a lease.
	renewInterval = 1200 * time.Millisecond
	// maxRenewalWait is how long a worker may delay the answer to a renewal while it waits for a task to end.
	maxRenewalWait = 900 * time.Millisecond
	// startupRenewalWait replaces maxRenewalWait while a long-running task starts up, since start-up is not reported as an
	// end.
	startupRenewalWait = 120 * time.Millisecond
	// renewalGap is the pause between two renewals, so that several ends are stored and acknowledged together.
	renewalGap = 30 * time.Millisecond
	// maxRenewalRate bounds the renewals of a service per second: with many workers the pause between renewals is longer.
	maxRenewalRate = 900
	// maxAsked bounds the idle workers that are asked in one decision whether they have restarted.
	maxAsked = 500
	// unstoredEndsGap is the pause between two renewals while ends wait to be stored.
	unstoredEndsGap = 250 * time.Millisecond
	// AliveTime is how long after a write of this daemon to the store there can't be a new owner that has read the workers: other
	// daemons take it for alive longer than that.
	AliveTime = 700 * time.Millisecond
	// pauseLimit is the time between two decisions after which a grant of shares in limits is not used any more. The next one follows
	// within a round of the controller.
	pauseLimit = time.Second
	// listGap is the minimum time between two early reads of the list of workers.
	listGap = 50 * time.Millisecond
	// renewalBackoff is the pause after a failed renewal.
	renewalBackoff = 300 * time.Millisecond
	// suspectAfter is how many calls have to fail in a row for a worker to get no new tasks.
	suspectAfter = 2
	// unansweredTimeout is how long a start order may go unanswered before the run is stopped.
	unansweredTimeout = 900 * time.Millisecond
	// lateCallTime is how long after its call ended without an answer a start may still be carried out. The protocol says
	// "seconds"; the walk and package exhaust delay calls by up to this time.
	lateCallTime = 12 * time.Second
	// stopRetry is the pause before an ineffective stop is repeated.
	stopRetry = 700 * time.Millisecond
	// batchGap is the minimum time between two writes that no caller waits for.
	batchGap = 120 * time.Millisecond
	// batchPuts bounds the records of one write; the platform accepts 100 entries.
	batchPuts = 90
	// batchBytes bounds the total size of the values of one write; the platform accepts 1 MB after base64.
	batchBytes = 600 << 10
	// deniedTTL is how long the first submission of a refused job is remembered, since its objective is measured from that
	// time, and how long the latest denial of a job is. Calls that may have been sent before that are asked for again.
	deniedTTL = 20 * time.Second
	// keepMargin is added to the retention period of finished jobs.
	keepMargin = 30 * time.Second
	// maxOpenTasks limits the tasks of a repeated job whose occurrences are due. It is the most that one occurrence may have.
	maxOpenTasks = 8192
	// maxLogged is the most workers that one log line names.
	maxLogged = 8
	// runsPerToken is the size of the range of run numbers that each token has.
	runsPerToken = 1 << 10
)
