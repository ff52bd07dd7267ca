package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/dispatch"
)

// submitMany submits n jobs of one small task and returns their replies.
func (p *pool) submitMany(first, n int) []*reply {
	replies := make([]*reply, n)
	for i := range replies {
		replies[i] = p.submit(fmt.Sprintf("%016x", first+i), step(1, 10))
	}
	return replies
}

func countOutcomes(list []*reply) map[dispatch.Outcome]int {
	n := map[dispatch.Outcome]int{}
	for _, r := range list {
		if r.calls > 0 {
			n[r.Outcome]++
		}
	}
	return n
}

// Guards against new jobs that wait behind the progress of running jobs while the store is slow: a batch has room for 89
// records, and 240 jobs end while the store does not answer.
func TestNewJobsAreStoredBeforeProgress(t *testing.T) {
	p := newPool(t, 6)
	p.run(200 * time.Millisecond)
	p.submitMany(1, 240)
	p.run(300 * time.Millisecond)
	p.storeDown = true
	p.run(time.Second)
	added := p.submitMany(1001, 40)
	p.storeDown = false
	p.run(2 * tick) // the batch in flight, and the next one
	p.is.Equal(countOutcomes(added)[dispatch.Accepted], len(added))
	p.run(100 * time.Millisecond)
	for i := range 240 {
		p.is.Equal(p.s.State(fmt.Sprintf("%016x", i+1)).String(), "completed")
	}
}

// Guards against ends that are never acknowledged to workers because new jobs fill every batch.
func TestProgressKeepsAPartOfEachBatch(t *testing.T) {
	const jobs = 160 // the batch in flight takes 89
	p := newPool(t, 6)
	p.run(200 * time.Millisecond)
	p.submitMany(1, jobs)
	p.run(300 * time.Millisecond)
	p.storeDown = true
	p.run(time.Second)
	p.storeDown = false
	for round := range 8 {
		p.submitMany(1000*(round+1), 200)
		p.run(tick)
	}
	ended := 0
	for i := range jobs {
		if p.s.State(fmt.Sprintf("%016x", i+1)).String() == "completed" {
			ended++
		}
	}
	p.is.Equal(ended, jobs)
}

// Guards against callers that wait for the store until their time is over although it can't take so many jobs: those that
// can't be stored in time are refused at once, and told to return at different times.
func TestJobsThatCannotBeStoredInTimeAreRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		latency  time.Duration
		accepted int
	}{
		{4 * time.Millisecond, 300},
		{100 * time.Millisecond, 300},
		{time.Second, 74}, // one write
	} {
		t.Run(c.latency.String(), func(t *testing.T) {
			is := is.New(t)
			p := newPool(t, 6)
			p.run(200 * time.Millisecond)
			p.storeDown = true
			p.s.SetWriteLatency(c.latency)
			replies := p.submitMany(1, 300)
			refused := countOutcomes(replies)[dispatch.Unavailable]
			is.Equal(300-refused, c.accepted)
			waits := map[time.Duration]bool{}
			for _, r := range replies {
				if r.Outcome == dispatch.Unavailable {
					waits[r.Wait] = true
					is.True(r.Wait >= time.Second)
				}
			}
			is.Equal(len(waits), refused)
		})
	}
}

// Guards against a service without hosts at the return of the store: the work that was refused meanwhile is no demand.
func TestWorkRefusedWithoutAStoreIsDemand(t *testing.T) {
	p := newPool(t, 6)
	p.run(200 * time.Millisecond)
	p.s.SetStoreDown(true)
	r := p.submit(jobA, step(4, hostCPU))
	p.is.Equal(r.Outcome, dispatch.Unavailable)
	p.is.True(p.s.Demand(p.now, 0, 0).Rate > 0)
}
