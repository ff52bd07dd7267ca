package caller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/caller"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/timer"
)

// Guards against a reboot of a host that is out of service only because of failed health checks: a later check may
// return it to service.
func TestConfirmNeedsTheRow(t *testing.T) {
	is := is.New(t)
	p := &fakeSlots{t: t}
	d := &caller.Decisions{
		Timer:        timer.NewVirtual(time.Unix(1000, 0)),
		Router:       p,
		NewAdmission: func() cuminstair.Admission { return p },
		Health:       &health.Monitor{},
	}
	d.SetFleet(fleet, 1)
	for range health.FailProbes {
		d.Probe("h1", false, false)
	}
	is.True(d.State("h1") != cuminstair.HostActive)
	is.True(!d.Confirm("h1"))
	d.SetHostState("h1", cuminstair.HostLeaving)
	is.True(d.Confirm("h1"))
}
