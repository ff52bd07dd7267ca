package explain

import (
	"context"
	"time"

	"cuminstair.org/cuminstair"
)

// batchTime is how long log lines are gathered. Waking the writer for each decision costs a switch of goroutines on the
// path of each request.
const batchTime = 10 * time.Millisecond

// Run writes the log lines until ctx ends, and then the remaining ones. Decisions that are overwritten before their
// line is written are counted in a line of their own.
func (r *Ring) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.close)
	defer stop()
	for {
		r.gather()
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

// gather waits until there is a decision, and then until batchTime has passed or half the ring is full.
func (r *Ring) gather() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.logged == r.seq && !r.closed {
		r.written.Wait()
	}
	if r.Timer == nil {
		return
	}
	passed := false
	stop := r.Timer.After(batchTime, func(time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		passed = true
		r.written.Broadcast()
	})
	defer stop()
	for !passed && !r.closed && r.seq-r.logged < uint64(len(r.kept))/2 {
		r.written.Wait()
	}
}

// take returns the decisions that have no log line yet. more is false once the ring is closed and all is written.
func (r *Ring) take() (batch []cuminstair.Decision, lost uint64, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.kept))
	if r.seq-r.logged > size {
		lost = r.seq - r.logged - size
		r.logged += lost
	}
	batch = make([]cuminstair.Decision, 0, r.seq-r.logged)
	for ; r.logged < r.seq; r.logged++ {
		batch = append(batch, r.kept[r.logged%size])
	}
	return batch, lost, !r.closed
}

func (r *Ring) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.written.Broadcast()
}
