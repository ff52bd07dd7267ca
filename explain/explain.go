// Package explain keeps recent decisions for the operators' explain command and writes each as one log line.
package explain

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Recorder = (*Ring)(nil)

// DefaultSize is the number of decisions that are kept: about 10 s of an entry daemon at 400 requests a second, with
// less than 1 MB.
const DefaultSize = 4096

// batchTime is how long log lines are gathered. Waking the writer for each decision costs a switch of goroutines on the
// path of each request.
const batchTime = 10 * time.Millisecond

// Ring keeps the last decisions. It must be made with New. It is safe for concurrent use. Exported fields are set before
// Run.
type Ring struct {
	// Timer spreads the work of Run; nil: each decision is written as soon as possible.
	Timer cuminstair.Timer

	log hclog.Logger

	mu      sync.Mutex
	kept    []cuminstair.Decision
	next    int    // position of the next decision in kept
	seq     uint64 // decisions recorded
	logged  uint64 // decisions written to the log or lost for it
	written *sync.Cond
	closed  bool
}

// New returns a ring of size decisions; Run writes the log lines.
func New(size int, log hclog.Logger) *Ring {
	if size <= 0 {
		size = DefaultSize
	}
	r := &Ring{log: log, kept: make([]cuminstair.Decision, size)}
	r.written = sync.NewCond(&r.mu)
	return r
}

// Record keeps a decision. It doesn't wait for the log.
func (r *Ring) Record(d cuminstair.Decision) {
	r.mu.Lock()
	r.kept[r.next] = d
	r.next = (r.next + 1) % len(r.kept)
	r.seq++
	// The first one begins a batch, and half a ring is written before its time.
	pending := r.seq - r.logged
	wake := pending == 1 || pending == uint64(len(r.kept))/2
	r.mu.Unlock()
	if wake {
		r.written.Broadcast()
	}
}

// Lookup returns the decisions about one thing that are still kept, the oldest first. kind is Decision.Kind.
func (r *Ring) Lookup(kind, id string) []cuminstair.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []cuminstair.Decision
	for i := range r.kept {
		d := r.kept[(r.next+i)%len(r.kept)]
		if d.Kind == kind && d.ID == id && kind != "" {
			found = append(found, d)
		}
	}
	return found
}

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
