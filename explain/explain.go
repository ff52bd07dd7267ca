// Package explain keeps recent decisions for the operators' explain command and writes each as one log line.
package explain

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Recorder = (*Ring)(nil)

// DefaultSize is the number of decisions that are kept: about 10 s of an entry daemon at 400 requests a second, with
// less than 1 MB.
const DefaultSize = 4096

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
