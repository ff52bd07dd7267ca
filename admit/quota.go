package admit

import (
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Quotas = (*Quotas)(nil)

// Quotas implements cuminstair.Quotas with a token bucket for each team. Each live daemon has an equal part of the rate
// and of the burst. It is not safe for concurrent use.
type Quotas struct {
	buckets map[string]*bucket
}

// bucket holds between 0 and burst tokens.
type bucket struct {
	rate    float64 // tokens a second
	burst   float64 // at least 1, so that a team can always send something
	tokens  float64
	updated time.Time // when tokens was computed; zero before the first request
}

// Configure implements cuminstair.Quotas. A team that was already configured keeps the fill level of its bucket.
func (q *Quotas) Configure(teams []cuminstair.Team, live int) {
	live = max(live, 1)
	buckets := make(map[string]*bucket, len(teams))
	for _, t := range teams {
		b := &bucket{rate: t.Quota.Rate / float64(live), burst: max(float64(t.Quota.Burst)/float64(live), 1)}
		b.tokens = b.burst
		if old := q.buckets[t.Name]; old != nil {
			b.updated = old.updated
			b.tokens = min(old.tokens*b.burst/old.burst, b.burst)
		}
		buckets[t.Name] = b
	}
	q.buckets = buckets
}

// Take implements cuminstair.Quotas. A team that is not configured is refused without a retry time.
func (q *Quotas) Take(now time.Time, team string) (time.Duration, bool) {
	b := q.buckets[team]
	if b == nil {
		return 0, false
	}
	if elapsed := now.Sub(b.updated); !b.updated.IsZero() && elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, b.burst)
	}
	if now.After(b.updated) {
		b.updated = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 {
		return 0, false
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}
