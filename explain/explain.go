// Package explain keeps recent decisions for the operators' explain command and writes a log line for each.
package explain

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Recorder = (*Ring)(nil)

// DefaultSize is the default number of decisions kept: those of about 10 s of an entry daemon at 400 requests per
// second, in less than 1 MB.
const DefaultSize = 4096

// Ring is a ring buffer of the latest decisions. It must be created with New and is safe for concurrent use. Exported
// fields must be set before Run.
type Ring struct {
	// Timer lets Run write log lines in batches; nil: Run writes each line as soon as possible.
	Timer cuminstair.Timer

	log hclog.Logger

	mu      sync.Mutex
	entries []cuminstair.Decision
	next    int        // position of the next decision in entries
	seq     uint64     // number of decisions recorded
	logged  uint64     // number of decisions written to the log, or overwritten before they were written
	changed *sync.Cond // wakes Run
	closed  bool
}

// New returns a ring buffer of size decisions; Run writes the log lines.
func New(size int, log hclog.Logger) *Ring {
	if size <= 0 {
		size = DefaultSize
	}
	r := &Ring{log: log, entries: make([]cuminstair.Decision, size)}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Record stores a decision. It does not wait for the log.
func (r *Ring) Record(d cuminstair.Decision) {
	r.mu.Lock()
	r.entries[r.next] = d
	r.next = (r.next + 1) % len(r.entries)
	r.seq++
	// The first pending decision starts a batch; a batch of half the ring is written without waiting for batchTime.
	pending := r.seq - r.logged
	wake := pending == 1 || pending == uint64(len(r.entries))/2
	r.mu.Unlock()
	if wake {
		r.changed.Broadcast()
	}
}

// Lookup returns the stored decisions with the given Decision.Kind and Decision.ID, the oldest first.
func (r *Ring) Lookup(kind, id string) []cuminstair.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []cuminstair.Decision
	for i := range r.entries {
		d := r.entries[(r.next+i)%len(r.entries)]
		if d.Kind == kind && d.ID == id && kind != "" {
			found = append(found, d)
		}
	}
	return found
}
