package dispatch_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/dispatch"
)

// Guards against a service that says that it is closed to a queue while it goes on to accept jobs of it: while jobs that it has
// accepted are not stored, for submissions of earlier versions, and after a takeover. The new service would not find these jobs.
func TestClosedServiceAcceptsNoMoreJobs(t *testing.T) {
	p := newPool(t, 4)
	queue := cuminstair.WorkQueue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Since: 3}
	key := assignment.KeyOf(&queue)
	submit := func(id string, since int64) (outcome dispatch.Outcome) {
		queue.Since = since
		outcome = dispatch.Uncertain
		p.s.Submit(p.now, id, &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(1, 2000)}}, queue, "", func(r dispatch.Result) { outcome = r.Outcome })
		p.writeBatch()
		return outcome
	}
	p.is.Equal(submit(jobA, 3), dispatch.Accepted)
	p.s.Submit(p.now, jobB, &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(1, 2000)}}, queue, "", func(dispatch.Result) {})
	inFlight := p.s.Batch(p.now)
	var got *dispatch.CloseResult
	p.s.CloseQueue(key, 7, func(r dispatch.CloseResult) { got = &r })
	p.decide(0)
	p.is.True(got == nil)
	p.s.NotStored(inFlight)
	first := p.s.Batch(p.now)
	p.decide(0)
	p.is.True(got == nil)
	p.s.Stored(p.now, first)
	p.decide(0)
	p.is.True(got != nil)
	p.is.Equal(*got, dispatch.CloseResult{Closed: true, Jobs: 2})
	for _, c := range []struct {
		since int64
		want  dispatch.Outcome
	}{{0, dispatch.Moved}, {3, dispatch.Moved}, {7, dispatch.Moved}, {8, dispatch.Accepted}} {
		p.is.Equal(submit("00000000000000c"+string(rune('0'+c.since)), c.since), c.want)
	}
	p.is.Equal(submit(jobA, 3), dispatch.Accepted) // it is known

	var rows []cuminstair.Record
	for _, put := range first.Puts {
		if put.Table == dispatch.WorkerTable {
			rows = append(rows, cuminstair.Record{RecordKey: put.RecordKey, Value: put.Value})
		}
	}
	p.s = dispatch.New("s", 200, p.now, hclog.NewNullLogger())
	p.s.Recover(p.now, nil, nil, rows)
	p.is.Equal(submit("00000000000000d7", 7), dispatch.Moved)
	got = nil
	p.s.CloseQueue(key, 7, func(r dispatch.CloseResult) { got = &r })
	p.decide(0)
	p.is.True(got != nil && got.Closed)
}

// Guards against a service that says that it is closed while jobs that it accepted before are not stored: one batch does not hold them all.
func TestServiceIsClosedOnceItsJobsAreStored(t *testing.T) {
	const jobs = 120
	p := newPool(t, 1)
	queue := cuminstair.WorkQueue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Since: 3}
	for i := range jobs {
		p.s.Submit(p.now, fmt.Sprintf("%016x", i+1), &cuminstair.JobSpec{Steps: []cuminstair.JobStep{longRunning(1)}}, queue, "", func(dispatch.Result) {})
	}
	var got dispatch.CloseResult
	p.s.CloseQueue(assignment.KeyOf(&queue), 7, func(r dispatch.CloseResult) { got = r })
	stored := map[string]bool{}
	for b := p.s.Batch(p.now); b != nil; b = p.s.Batch(p.now) {
		for _, put := range b.Puts {
			stored[put.Key] = stored[put.Key] || put.Table == dispatch.JobTable
		}
		p.s.Stored(p.now, b)
		p.decide(0)
		if got.Closed {
			break
		}
	}
	n := 0
	for _, isJob := range stored {
		if isJob {
			n++
		}
	}
	p.is.Equal(got, dispatch.CloseResult{Closed: true, Jobs: jobs})
	p.is.Equal(n, jobs)
}

// Guards against a record of closed queues that is larger than a value may be, so that no write of the service succeeds any more.
func TestRecordOfClosedQueuesIsBounded(t *testing.T) {
	const queues, maxValue = 400, 48 << 10
	p := newPool(t, 1)
	for i := range queues {
		key := assignment.Key{Host: strings.Repeat("h", 200), Prefix: fmt.Sprintf("/%d/", i)}
		p.s.CloseQueue(key, int64(i+1), func(dispatch.CloseResult) {})
	}
	for _, put := range p.s.Batch(p.now).Puts {
		p.is.True(len(put.Value) <= maxValue)
		if put.Key == "closed" {
			p.is.True(strings.Contains(string(put.Value), fmt.Sprintf(`"version":%d`, queues))) // the latest is kept
		}
	}
}

// Guards against a queue that shows no waiting jobs under a new name, and against another queue's jobs among them.
func TestWaitingJobsOfAQueueWithANewName(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 4)
	for i, q := range []cuminstair.WorkQueue{{Name: "a", Host: "h", Prefix: "/q/"}, {Name: "b", Host: "h", Prefix: "/q/"}, {Name: "a", Host: "h", Prefix: "/r/"}} {
		p.s.Submit(p.now, jobA[:15]+string(rune('1'+i)), &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(1, 2000)}}, q, "", func(dispatch.Result) {})
	}
	p.writeBatch()
	is.Equal(p.s.Waiting(assignment.Key{Host: "h", Prefix: "/q/"}), 2)
	is.Equal(p.s.Waiting(assignment.Key{Host: "h", Prefix: "/r/"}), 1)
}
