package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/retry"
)

var start = time.Unix(1_000_000, 0)

func newBudget() *retry.Budget { return &retry.Budget{Rand: rand.New(rand.NewPCG(1, 2))} }

func request(team string, at time.Time) *cuminstair.Request {
	return &cuminstair.Request{Team: team, Arrived: at, Deadline: at.Add(10 * time.Second), Idempotent: true}
}

// simulateFailure simulates 60 s without failures and then 20 s in which every attempt at the pool fails. It returns the
// numbers of first attempts and of retries in each second of the failure. rates are the requests per second of each team.
func simulateFailure(b cuminstair.RetryBudget, rates []float64) (first, retried [20]int) {
	rnd := rand.New(rand.NewPCG(3, 4))
	type due struct {
		at time.Time
		r  *cuminstair.Request
	}
	var retries []due
	try := func(now time.Time, r *cuminstair.Request) {
		if wait, ok := b.Retry(now, r, "pool"); ok {
			r.Attempt++
			retries = append(retries, due{now.Add(wait), r})
		}
	}
	const step = 10 * time.Millisecond
	for now := start; now.Before(start.Add(80 * time.Second)); now = now.Add(step) {
		second := int(now.Sub(start)/time.Second) - 60
		pending := retries
		retries = nil
		for _, d := range pending {
			if d.at.After(now) {
				retries = append(retries, d)
				continue
			}
			retried[second]++
			try(now, d.r)
		}
		for i, rate := range rates {
			if rnd.Float64() >= rate*step.Seconds() {
				continue
			}
			team := fmt.Sprint("t", i)
			if second < 0 {
				b.Success(now, team, "pool")
				continue
			}
			first[second]++
			try(now, request(team, now))
		}
	}
	return first, retried
}

// Guards against retries that add more than 10% to the load when a whole pool fails (section 1.4 of docs/design.md),
// over the whole failure and in each second of it, with small and large teams.
func TestWholePoolFails(t *testing.T) {
	is := is.New(t)
	for name, rates := range map[string][]float64{
		"310 small teams": repeat(310, 0.5), "20 large teams": repeat(20, 50), "both": append(repeat(300, 0.5), repeat(10, 50)...),
	} {
		first, retried := simulateFailure(newBudget(), rates)
		sumFirst, sumRetried, worst := 0, 0, 0.0
		for i := range first {
			sumFirst += first[i]
			sumRetried += retried[i]
			worst = max(worst, float64(retried[i])/float64(max(first[i], 1)))
		}
		t.Logf("%-15s retries %.3f of the first attempts, in the worst second %.3f", name, float64(sumRetried)/float64(sumFirst), worst)
		is.True(float64(sumRetried) <= 0.1*float64(sumFirst))
		is.True(worst <= 0.1)
	}
}

func repeat(n int, rate float64) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = rate
	}
	return rates
}

// Guards against a budget that is too small for ordinary failures: if 2% of the requests fail at random, at least 90% of
// these must be retried.
func TestOrdinaryFailuresAreRetried(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	rnd := rand.New(rand.NewPCG(5, 6))
	failed, retried := 0, 0
	for i := range 60_000 { // 310 teams with 2 requests a second each, about 100 s
		now := start.Add(time.Duration(i) * time.Second / 620)
		team := fmt.Sprint("t", rnd.IntN(310))
		if rnd.Float64() >= 0.02 || i < 20_000 {
			b.Success(now, team, "pool")
			continue
		}
		failed++
		if _, ok := b.Retry(now, request(team, now), "pool"); ok {
			retried++
		}
	}
	t.Logf("%d of %d retried", retried, failed)
	is.True(float64(retried) >= 0.9*float64(failed))
}

// Guards against a backoff without jitter or above its bound, and against a retry after the deadline or after the last
// attempt.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	for range 10_000 {
		b.Success(start, "t", "pool")
	}
	low, high := time.Hour, time.Duration(0)
	for range 500 {
		b.Success(start, "t", "pool")
		for range 20 {
			b.Success(start, "t", "pool")
		}
		wait, ok := b.Retry(start, request("t", start), "pool")
		is.True(ok)
		low, high = min(low, wait), max(high, wait)
	}
	is.True(low > 0 && low < retry.BaseBackoff/10)
	is.True(high > retry.BaseBackoff*9/10 && high <= retry.BaseBackoff)
	late := request("t", start)
	late.Deadline = start
	_, ok := b.Retry(start, late, "pool")
	is.True(!ok)
	exhausted := request("t", start)
	exhausted.Attempt = retry.MaxAttempts - 1
	_, ok = b.Retry(start, exhausted, "pool")
	is.True(!ok)
}

// Guards against entries that are kept for teams and pools that are no longer in use (310 teams, 45 pools).
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	for team := range 310 {
		for pool := range 45 {
			b.Success(start, fmt.Sprint("t", team), fmt.Sprint("p", pool))
		}
	}
	is.Equal(b.Size(), 310*45+45)
	b.Success(start.Add(2*retry.Window), "t1", "p1")
	is.Equal(b.Size(), 2)
	_, ok := b.Retry(start.Add(2*retry.Window), request("stranger", start.Add(2*retry.Window)), "nowhere")
	is.True(!ok)
	is.Equal(b.Size(), 3) // a failure adds an entry for the pool, but none for the team
}

// Guards against a second run of a request that may have run and is not idempotent (section 1.3 of docs/design.md,
// invariant 5): for every outcome and reason, only a proof that it did not run allows another attempt.
func TestMayNeverRepeatsEffects(t *testing.T) {
	is := is.New(t)
	notIdempotent := &cuminstair.Request{}
	idempotent := &cuminstair.Request{Idempotent: true}
	reasons := []cuminstair.Reason{
		"", cuminstair.ReasonBroken, cuminstair.ReasonDeadline, cuminstair.ReasonMismatch, cuminstair.ReasonRefused,
		cuminstair.ReasonSilent, cuminstair.ReasonStopping, cuminstair.ReasonNoUpstream,
	}
	for _, reason := range reasons {
		for _, outcome := range []cuminstair.Outcome{cuminstair.OutcomeUnknown, cuminstair.OutcomeDone} {
			is.True(!retry.Allowed(notIdempotent, cuminstair.Result{Outcome: outcome, Reason: reason}))
		}
		is.True(!retry.Allowed(idempotent, cuminstair.Result{Outcome: cuminstair.OutcomeDone, Reason: reason}))
	}
	broken := cuminstair.Result{Reason: cuminstair.ReasonBroken}
	is.True(retry.Allowed(idempotent, broken))
	refused := cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonRefused}
	is.True(retry.Allowed(notIdempotent, refused) && retry.Allowed(idempotent, refused))
}

// Guards against a request that is reported as not run although an earlier attempt may have run (section 1.3 of
// docs/design.md, invariant 4).
func TestSettle(t *testing.T) {
	is := is.New(t)
	notRun, unknown, done := cuminstair.OutcomeNotRun, cuminstair.OutcomeUnknown, cuminstair.OutcomeDone
	is.Equal(retry.CombineOutcome(notRun, notRun), notRun)
	is.Equal(retry.CombineOutcome(unknown, notRun), unknown)
	is.Equal(retry.CombineOutcome(notRun, unknown), unknown)
	is.Equal(retry.CombineOutcome(unknown, done), done)
}
