package entry

import (
	"net/http"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/platform"
)

// errForbidden means that a job belongs to another client account than the one whose key the call has.
const errForbidden = errors.ConstError("the job belongs to another client account")

// authorize sets the client account of a call from its key, and reports false if the call has no valid key but needs one. A key
// that is given has to be valid on an anonymous queue too.
func (d *Daemon) authorize(config *cuminstair.JobConfig, x *call, h http.Header) bool {
	if config.Accounts == nil {
		return true
	}
	sum, err := platform.CallerKey(h)
	if errors.Is(err, platform.ErrNoKey) && x.queue.Anonymous {
		return true
	}
	why := "unknown key"
	if err == nil {
		// The lookup by the sum of the key takes a time that tells nothing about the keys that exist.
		account, ok := config.Keys[sum]
		if ok {
			x.account = account
			return true
		}
	} else {
		why = err.Error()
	}
	d.Metrics.countCall(x.method, "unauthorized")
	d.Log.Info("entry: call without a valid key", "queue", x.queue.Name, "method", x.method, "why", why, "config", config.Version)
	return false
}

// forbid tells a caller that the job of its call belongs to another client account.
func (d *Daemon) forbid(c echo.Context, x call) error {
	d.Metrics.countCall(x.method, "forbidden")
	d.Log.Info("entry: call on a job of another client account", "job", x.id, "method", x.method, "queue", x.queue.Name,
		"account", x.account, "config", x.configVersion)
	return c.String(http.StatusForbidden, errForbidden.Error())
}
