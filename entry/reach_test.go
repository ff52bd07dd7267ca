package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// fixedTimer is a timer service with a fixed time.
type fixedTimer struct {
	cuminstair.Timer
	now time.Time
}

// Now implements cuminstair.Timer.
func (t fixedTimer) Now() time.Time { return t.now }

// Guards against a store that does not answer but is not reported as silent, so that a cut-off data centre is noticed
// late, and against a slow store that is reported as silent or unavailable, so that services are offered to other
// daemons although the store would answer them no better.
func TestSilentStore(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) *time.Time {
		at := now.Add(-d)
		return &at
	}
	for _, c := range []struct {
		name                string
		read, readStarted   *time.Time
		failed              bool
		silent, unavailable bool
	}{
		{"never read", nil, nil, false, false, true},
		{"recent read", ago(300 * time.Millisecond), nil, false, false, false},
		{"slow read", ago(900 * time.Millisecond), ago(320 * time.Millisecond), false, false, false},
		{"read without an answer", ago(900 * time.Millisecond), ago(450 * time.Millisecond), false, true, false},
		{"read long ago", ago(1500 * time.Millisecond), nil, false, true, true},
		{"failed read", ago(600 * time.Millisecond), nil, true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &Daemon{Timer: fixedTimer{now: now}}
			d.readAt.Store(c.read)
			d.readStarted.Store(c.readStarted)
			d.readFailed.Store(c.failed)
			is.Equal(d.storeSilent(), c.silent)
			is.Equal(d.storeUnavailable(), c.unavailable)
		})
	}
}
