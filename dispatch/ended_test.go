package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an observation that is taken for proof about a start which may have been carried out after it.
func TestObservationsProveNothingAboutLaterStarts(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1000 + ms)) }
	const longest = 10 * time.Second
	answered := func(ms int) runTimes { return runTimes{sentAt: at(0), answeredAt: at(ms)} }
	unanswered := func(ms int) runTimes { return runTimes{sentAt: at(0), unansweredAt: at(ms)} }
	refused := func(ms int) runTimes { return runTimes{sentAt: at(0), unansweredAt: at(ms), refusedAsOld: true} }
	stopped := func(ms int) runTimes { return runTimes{sentAt: at(0), stopConfirmedAt: at(ms)} }
	missing := func(r runTimes, n int) runTimes { r.missingReports = n; return r }
	listed := func(r runTimes) runTimes { r.seen = true; return r }
	ofEarlierOwner := func(r runTimes) runTimes { r.ofEarlierOwner = true; return r }
	cases := []struct {
		name  string
		run   runTimes
		kind  observationKind
		since time.Time
		ended bool
	}{
		{"stop confirmed before the request", stopped(5), observedStop, at(6), true},
		{"stop confirmed at the request", stopped(6), observedStop, at(6), false},
		{"no stop", answered(1), observedStop, at(6), false},
		{"missing twice", missing(answered(5), 2), observedAbsence, at(6), true},
		{"missing once", missing(answered(5), 1), observedAbsence, at(6), false},
		{"missing, answered at the request", missing(answered(6), 2), observedAbsence, at(6), false},
		{"missing, not answered", missing(unanswered(5), 2), observedAbsence, at(6), false},
		{"missing, not answered, of an earlier owner", ofEarlierOwner(unanswered(5)), observedAbsence, at(6), true},
		{"missing once, answered, of an earlier owner", ofEarlierOwner(missing(answered(5), 1)), observedAbsence, at(6), false},
		{"restart, answered before", answered(5), observedRestart, at(6), true},
		{"restart, answered after", answered(7), observedRestart, at(6), false},
		{"restart, not answered", unanswered(5), observedRestart, at(6), false},
		{"restart, listed before", listed(answered(7)), observedRestart, at(6), true},
		{"host down, answered before", answered(5), observedHostDown, at(6), true},
		{"host down, answered at the request", answered(6), observedHostDown, at(6), false},
		{"host down, call under way", runTimes{sentAt: at(0)}, observedHostDown, at(6), false},
		{"host down, call ended at the request", unanswered(6), observedNewHost, at(6), false},
		{"lease out, answered", answered(5), observedLapse, at(6), true},
		{"lease out, call under way", runTimes{sentAt: at(0)}, observedLapse, at(60000), false},
		{"lease out, longest lease of a late start over", unanswered(5), observedLapse, at(22006), true},
		{"lease out, longest lease of a late start not over", unanswered(5), observedLapse, at(22005), false},
		{"lease out, refused as old, longest lease over", refused(5), observedLapse, at(10006), true},
		{"lease out, refused as old, longest lease not over", refused(5), observedLapse, at(10005), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.run.ended(observation{kind: c.kind, since: c.since, longestLease: longest}), c.ended)
		})
	}
}
