package control

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// outage is a time in which the platform does not answer one part of a Control. It is logged once when it begins and
// once when it ends: steps go on several times a second meanwhile. Only one goroutine may use it.
type outage struct {
	since time.Time // zero: there is none
}

// see takes the outcome of a step. Errors other than of a platform that does not answer are logged each time.
func (o *outage) see(c *Control, part string, err error) {
	if !errors.Is(err, cuminstair.ErrUnavailable) && !errors.Is(err, cuminstair.ErrUncertain) {
		o.end(c, part+" goes on")
		if err != nil {
			c.logger().Warn(part+" ended early", "error", err)
		}
		return
	}
	if o.since.IsZero() {
		o.since = c.Timer.Now()
		c.logger().Warn(part+" waits for the platform", "error", err)
	}
}

// end logs the duration of the outage, if there is one.
func (o *outage) end(c *Control, message string) {
	if o.since.IsZero() {
		return
	}
	c.logger().Info(message, "after", c.Timer.Now().Sub(o.since))
	o.since = time.Time{}
}
