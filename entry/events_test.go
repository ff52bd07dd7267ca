package entry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
)

// Guards against an event that is handled with a time before it was queued: an answer that arrives after a freeze would count as
// one before it.
func TestEventsAreNotHandledWithATimeBeforeThem(t *testing.T) {
	is := is.New(t)
	timer := &movingTimer{now: peerTime}
	d := &Daemon{Timer: timer, Log: hclog.NewNullLogger(), Settings: &platform.Settings{}}
	r := newRunner(d, ownership.HostsPart, 7, ownership.Owner{}, false)
	var queuedAt, handledAt time.Time
	r.post(func(time.Time) {
		timer.now = timer.now.Add(3 * time.Second) // the process is frozen
		queuedAt = timer.now
		r.post(func(now time.Time) { handledAt, r.ended = now, true })
	})
	r.loop(context.Background())
	is.True(!handledAt.Before(queuedAt))
}
