// Package dispatch runs the jobs of one service: it accepts them, places their tasks on workers under leases and a
// fencing token, counts their ends and tells their states.
//
// A Service only decides. Its methods take an event and a time; Decide then returns the orders to workers, and Batch
// the records to write. It holds no goroutine, socket or clock and is not safe for concurrent use.
package dispatch

import "time"

// Times and limits of a service.
const (
	// Lease is the longest time that a worker runs tasks without hearing from the owner.
	Lease = 4 * time.Second
	// clockSlow is how much slower than the own clock a worker's clock may run.
	clockSlow = 0.02
	// leaseMargin covers the resolution of the workers' clocks.
	leaseMargin = 100 * time.Millisecond
	// renewEvery is the longest time between two renewals of a lease.
	renewEvery = 1200 * time.Millisecond
	// holdWait is how long a worker may keep a renewal open while it waits for an end.
	holdWait = 900 * time.Millisecond
	// startupWait is the same while a long-running task starts up, which ends nothing.
	startupWait = 120 * time.Millisecond
	// holdGap is the pause between two renewals, in which ends are stored and acknowledged together.
	holdGap = 30 * time.Millisecond
	// holdRate bounds the renewals of a service in a second: with many workers the pause between two is longer.
	holdRate = 900
	// holdGapBusy is the pause while ends wait to be stored.
	holdGapBusy = 250 * time.Millisecond
	// holdBackoff is the pause after a renewal that failed.
	holdBackoff = 300 * time.Millisecond
	// suspectAfter is how many renewals may fail in a row before a worker gets no new tasks.
	suspectAfter = 2
	// unsureAfter is how long an order may be without an answer before the run is stopped and settled.
	unsureAfter = 900 * time.Millisecond
	// stopAgain is the pause before a stop that did not take effect is sent again.
	stopAgain = 700 * time.Millisecond
	// batchGap is the least time between two writes that no caller waits for.
	batchGap = 120 * time.Millisecond
	// batchPuts bounds the records of one write; the platform takes 100 entries.
	batchPuts = 90
	// batchBytes bounds the values of one write; the platform takes 1 MB after base64.
	batchBytes = 600 << 10
	// refusedKeep is how long the first sending of a refused job is remembered, so that its objective counts from there.
	refusedKeep = 20 * time.Second
	// keepMargin is added to the time that the state of a finished job is told.
	keepMargin = 30 * time.Second
	// runsPerToken is the room for run numbers between two tokens.
	runsPerToken = 1 << 10
)
