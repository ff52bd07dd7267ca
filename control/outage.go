package control

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// outage tracks whether the platform answers one part of a Control. An outage is logged once when it begins and once
// when it ends, because steps fail several times a second during it. Only one goroutine may use it.
type outage struct {
	since time.Time // start of the outage; zero if there is none
}

// observe processes the outcome of a step. ErrUnavailable and ErrUncertain begin or continue an outage. Any other
// outcome ends the outage; other errors are logged each time.
func (o *outage) observe(c *Control, part string, err error) {
	if !errors.Is(err, cuminstair.ErrUnavailable) && !errors.Is(err, cuminstair.ErrUncertain) {
		o.end(c, part+" continues")
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
