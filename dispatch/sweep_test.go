package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// jobRows returns the number of records of jobs in the store.
func (p *pool) jobRows() int {
	n := 0
	for key := range p.store {
		if key.Table == dispatch.JobTable {
			n++
		}
	}
	return n
}

// Guards against finished jobs that come faster than they are deleted, or that an earlier release has left, and that fill the store and
// the memory of each owner until no takeover ends.
func TestFinishedJobsAreDeletedAsFastAsTheyCome(t *testing.T) {
	const (
		rate      = 40                                // jobs a second
		retention = (60 + 30 + 10) * time.Second      // of the state, the margin, and the time to delete
		backlog   = 4000                              // jobs of an earlier release
		most      = int(retention/time.Second) * rate // jobs that the store may have
	)
	p := newPool(t, 6)
	p.duration = func(cuminstair.TaskID) time.Duration { return 20 * time.Millisecond }
	p.run(200 * time.Millisecond)
	n := 0
	for range backlog / 80 {
		p.submitMany(n, 80)
		n += 80
		p.run(200 * time.Millisecond)
	}
	p.is.Equal(p.s.Open(), 0)
	p.run(20 * time.Second)
	p.takeOver(200, 0)
	p.run(100 * time.Second) // the backlog is due
	for range 150 {
		p.submitMany(n, rate)
		n += rate
		p.run(time.Second)
	}
	p.is.True(p.jobRows() <= most)
	p.run(retention)
	p.is.Equal(p.jobRows(), 0)
}
