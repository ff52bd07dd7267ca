package explain

import (
	"context"
	"time"

	"cuminstair.org/cuminstair"
)

// batchTime is how long decisions are collected before their log lines are written. Waking the writer for each decision
// would cost a goroutine switch on the path of each request.
const batchTime = 10 * time.Millisecond

// Run writes the log lines until ctx ends, and then the remaining ones. It logs the number of decisions that were
// overwritten before their line was written.
func (r *Ring) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.close)
	defer stop()
	for {
		r.awaitBatch()
		batch, lost, more := r.take()
		if lost > 0 {
			r.log.Warn("decisions are missing from the log", "count", lost)
		}
		for i := range batch {
			r.write(&batch[i])
		}
		if !more {
			return nil
		}
	}
}

func (r *Ring) write(d *cuminstair.Decision) {
	if !r.log.IsInfo() {
		return
	}
	r.log.Info(d.Part+" decided", "kind", d.Kind, "id", d.ID, "choice", d.Choice, "reason", string(d.Reason), "inputs", d.Detail)
}

// awaitBatch waits until a decision is pending, and then until batchTime has passed or half the ring is full. It
// returns at once when the ring is closed.
func (r *Ring) awaitBatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.logged == r.seq && !r.closed {
		r.changed.Wait()
	}
	if r.Timer == nil {
		return
	}
	passed := false
	stop := r.Timer.After(batchTime, func(time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		passed = true
		r.changed.Broadcast()
	})
	defer stop()
	for !passed && !r.closed && r.seq-r.logged < uint64(len(r.entries))/2 {
		r.changed.Wait()
	}
}

// take returns the decisions to be logged and the number of decisions that were overwritten before they could be logged.
// more is false once the ring is closed.
func (r *Ring) take() (batch []cuminstair.Decision, lost uint64, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.entries))
	if r.seq-r.logged > size {
		lost = r.seq - r.logged - size
		r.logged += lost
	}
	batch = make([]cuminstair.Decision, 0, r.seq-r.logged)
	for ; r.logged < r.seq; r.logged++ {
		batch = append(batch, r.entries[r.logged%size])
	}
	return batch, lost, !r.closed
}

func (r *Ring) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
}
