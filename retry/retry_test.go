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

// failure plays 60 s in which all is well and 20 s in which each attempt at the pool fails. It returns the first
// attempts and the retries that are sent in each second of the failure. rates are requests a second of each team.
func failure(b cuminstair.RetryBudget, rates []float64) (first, again [20]int) {
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
			again[second]++
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
	return first, again
}

// Guards against retries that add more than 10% to the load when a whole pool fails (page 1.4), over the whole failure
// and in each second of it, for teams of all sizes.
func TestWholePoolFails(t *testing.T) {
	is := is.New(t)
	for name, rates := range map[string][]float64{
		"310 small teams": repeat(310, 0.5), "20 large teams": repeat(20, 50), "both": append(repeat(300, 0.5), repeat(10, 50)...),
	} {
		first, again := failure(newBudget(), rates)
		sumFirst, sumAgain, worst := 0, 0, 0.0
		for i := range first {
			sumFirst += first[i]
			sumAgain += again[i]
			worst = max(worst, float64(again[i])/float64(max(first[i], 1)))
		}
		t.Logf("%-15s retries %.3f of the first attempts, in the worst second %.3f", name, float64(sumAgain)/float64(sumFirst), worst)
		is.True(float64(sumAgain) <= 0.1*float64(sumFirst))
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
