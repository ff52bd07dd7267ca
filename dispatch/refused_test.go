package dispatch_test

import (
	"bytes"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/dispatch"
)

// Guards against a record that the store refuses and that keeps all else of its service from being stored, for good. In each
// case the store takes no record of one kind: 120 other jobs, which one batch has no room for, are accepted and completed.
func TestRefusedRecordKeepsNothingElseFromTheStore(t *testing.T) {
	const refused = "00000000000000aa"
	key := assignment.Key{Host: "h", Prefix: "/q/"}
	for name, c := range map[string]struct {
		refuses func(cuminstair.RecordPut) bool
		check   func(p *pool, r *reply)
	}{
		"new job": {
			refuses: func(put cuminstair.RecordPut) bool { return put.Table == dispatch.JobTable && put.Key == refused },
			check: func(p *pool, r *reply) {
				p.is.Equal(r.Outcome, dispatch.Impossible)
				p.is.Equal(p.s.State(refused), cuminstair.JobUnknown)
				again := p.submit(refused, step(1, 10))
				p.run(tick)
				p.is.Equal(again.calls, 1)
				p.is.True(again.Outcome != dispatch.Accepted)
			},
		},
		"progress of a job": {
			refuses: func(put cuminstair.RecordPut) bool { return put.Table == dispatch.RunTable && put.Key == refused },
			check: func(p *pool, r *reply) {
				p.is.Equal(r.Outcome, dispatch.Accepted)
				p.is.Equal(p.s.State(refused), cuminstair.JobRunning)
				p.refuses = func(cuminstair.RecordPut) bool { return false }
				p.run(20 * time.Second) // it is written again after a time
				p.is.Equal(p.s.State(refused), cuminstair.JobCompleted)
			},
		},
		"worker": {
			refuses: func(put cuminstair.RecordPut) bool { return bytes.Contains(put.Value, []byte(`"id":"a"`)) },
			check: func(p *pool, _ *reply) {
				p.is.Equal(p.s.State(refused), cuminstair.JobCompleted)
				for _, w := range p.workers {
					p.is.Equal(w.seq > 0, w.info.ID != "a") // a worker that isn't recorded runs nothing
				}
			},
		},
		"averages":      {refuses: func(put cuminstair.RecordPut) bool { return put.Key == "averages" }},
		"closed queues": {refuses: func(put cuminstair.RecordPut) bool { return put.Key == "closed" }},
		"starts without an answer": {
			refuses: func(put cuminstair.RecordPut) bool { return put.Key == "unanswered" },
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 6)
			p.refuses = c.refuses
			p.run(200 * time.Millisecond)
			p.s.CloseQueue(key, 1, func(dispatch.CloseResult) {})
			p.workers[1].dropReplies = true
			others := p.submitMany(1000, 60)
			r := p.submit(refused, step(1, 10))
			others = append(others, p.submitMany(2000, 60)...)
			p.run(500 * time.Millisecond)
			p.is.Equal(countOutcomes(others)[dispatch.Accepted], len(others))
			p.workers[1].dropReplies = false
			p.run(8 * time.Second)
			p.is.Equal(p.s.Open(), 0)
			p.is.True(p.refusals > 0)
			p.is.True(p.refusals < 30)
			p.is.True(p.s.Counts().Withheld > 0)
			if c.check != nil {
				c.check(p, r)
			}
		})
	}
}
