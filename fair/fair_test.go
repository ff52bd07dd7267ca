package fair_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/fair"
)

var begin = time.Unix(1000, 0)

// Guards against shares that leave capacity unused, exceed it, or ignore weights or what an account asks for.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name    string
		weights []float64
		demands []float64 // cores
		cores   float64
		shares  []float64 // cores; infinite: the account gets what it asks for
	}{
		{"enough for all", []float64{1, 1}, []float64{40, 50}, 100, []float64{math.Inf(1), math.Inf(1)}},
		{"equal weights", []float64{1, 1}, []float64{200, 50}, 100, []float64{50, 50}},
		{"the remainder of a small demand", []float64{1, 1, 1}, []float64{10, 100, 100}, 100, []float64{45, 45, 45}},
		{"weights", []float64{3, 1}, []float64{200, 200}, 100, []float64{75, 25}},
		{"no weight counts as one", []float64{0, 1}, []float64{200, 200}, 100, []float64{50, 50}},
		{"no capacity", []float64{1, 1}, []float64{1, 1}, 0, []float64{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var tracker fair.Tracker
			for i, demand := range c.demands {
				tracker.Offered(begin, fmt.Sprint(i), c.weights[i], demand*fair.Window.Seconds())
			}
			tracker.Fill(begin, c.cores)
			for i, share := range c.shares {
				got := tracker.Standing(begin, fmt.Sprint(i))
				is.True(got.Share == share || math.Abs(got.Share-share) < 1e-9)
				is.True(got.Others <= c.cores)
			}
		})
	}
}

// Guards against an account that stays above its share for ever, is not forgotten, or is promised the same room twice.
func TestAccountAboveItsShare(t *testing.T) {
	is := is.New(t)
	var tracker fair.Tracker
	for name, work := range map[string]float64{"a": 1000, "b": 100} {
		tracker.Offered(begin, name, 1, work)
	}
	tracker.Accepted(begin, "a", 300)
	tracker.Accepted(begin, "b", 300)
	tracker.Fill(begin, 100)
	is.True(tracker.Above(begin, "a"))
	is.True(!tracker.Above(begin, "b"))
	first, promised := tracker.Book(begin, "a", 50, time.Minute)
	is.True(promised)
	second, _ := tracker.Book(begin, "a", 50, time.Minute)
	is.Equal(second-first, 2*time.Second) // half of 50 cores are for callers that come again
	_, promised = tracker.Book(begin, "a", 50, time.Second)
	is.True(!promised)
	is.True(!tracker.Above(begin.Add(first), "a"))
	tracker.Fill(begin.Add(time.Minute), 100)
	is.Equal(tracker.Accounts(), 0)
}

// Guards against accounts that are refused for their share in a peak of all accounts, or since a few jobs came together, and
// against a burst of one account that goes unnoticed.
func TestOnlyABurstIsAboveItsShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		demands []float64 // cores, by account of equal weight; all of it is accepted
		bursts  bool      // the first account
	}{
		{"a peak of all", []float64{50, 50, 50, 50, 50}, false},
		{"a little more than the others", []float64{90, 50, 50, 50, 50}, false},
		{"many times a small load", []float64{9, 1, 1, 1, 1}, false},
		{"seven times the others", []float64{140, 20, 20, 20, 20}, true},
		{"the only account", []float64{400}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var tracker fair.Tracker
			for i, demand := range c.demands {
				name := fmt.Sprint(i)
				tracker.Offered(begin, name, 1, demand*fair.Window.Seconds())
				tracker.Accepted(begin, name, demand*fair.Window.Seconds())
			}
			tracker.Fill(begin, 100)
			is.Equal(tracker.Above(begin, "0"), c.bursts)
			if len(c.demands) > 1 {
				is.True(!tracker.Above(begin, "1"))
			}
		})
	}
}
