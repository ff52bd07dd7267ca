package entry

import (
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/intake"
)

// newGate returns the gate of the daemon's listeners, with the limits until a configuration is in force.
func (d *Daemon) newGate() *intake.Gate {
	var mu sync.Mutex
	var lines intake.Lines
	return intake.New(d.clientLimits(nil), func(r intake.Reason, g intake.Group, remote net.Addr) {
		if d.Metrics != nil {
			d.Metrics.Limited.WithLabelValues(r.String(), g.String()).Inc()
		}
		mu.Lock()
		leftOut, ok := lines.Next(d.Timer.Now(), r)
		mu.Unlock()
		if ok {
			d.Log.Info("entry: limit for clients reached", "limit", r.String(), "listener", g.String(), "remote", remote.String(), "left out", leftOut)
		}
	})
}

func (d *Daemon) clientLimits(c *cuminstair.JobConfig) intake.Limits {
	return intake.Derive(d.Settings.Memory, intake.Descriptors(d.Settings.Descriptors), c)
}

// limitClients applies the limits of a configuration, to open connections too.
func (d *Daemon) limitClients(c *cuminstair.JobConfig) {
	if d.gate != nil {
		d.gate.SetLimits(d.clientLimits(c))
	}
}

// refuseBody answers a call whose body was not read. The call never takes effect. Package intake bounds the log lines.
func (d *Daemon) refuseBody(c echo.Context, x call, err error) error {
	intake.Refuse(c.Response(), c.Request())
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return c.String(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, intake.ErrTooSlow):
		return c.String(http.StatusRequestTimeout, "the body did not arrive in time")
	case errors.Is(err, intake.ErrNoMemory):
		d.Metrics.countCall(x.method, "refused")
		c.Response().Header().Set("Retry-After", strconv.Itoa(intake.RetryAfter(d.Timer.Now())))
		return c.String(http.StatusServiceUnavailable, "no memory for the body now")
	}
	return c.String(http.StatusBadRequest, "the body could not be read")
}
