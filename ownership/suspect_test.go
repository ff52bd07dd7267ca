package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/ownership"
)

// centres has three daemons in each of two data centres. Each daemon has a view of its own.
type centres struct {
	store testStore
	views map[string]*ownership.View
	now   time.Time
	owner string
}

var centreOf = map[string]string{"x1": "x", "x2": "x", "x3": "x", "y1": "y", "y2": "y", "y3": "y"}

func newCentres(owner string) *centres {
	c := &centres{views: daemons("x1", "x2", "x3", "y1", "y2", "y3"), now: begin, owner: owner}
	c.store.setOwner("s", owner)
	return c
}

// run makes the daemons write as often as they should and read every 100 ms. Daemons of the data centre cut do neither.
func (c *centres) run(d time.Duration, cut string) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		for name := range c.views {
			every := ownership.HeartbeatInterval
			if name == c.owner {
				every = ownership.OwnerHeartbeatInterval
			}
			if centreOf[name] != cut && c.now.Sub(begin)%every == 0 {
				c.store.put(ownership.NodePart, name, ownership.Node{
					Run: name + "1", Addr: name, Centre: centreOf[name], Weight: 1, Ready: true, Sequence: int64(c.store.version),
					IntervalMillis: every.Milliseconds(),
				})
			}
		}
		for name, v := range c.views {
			if centreOf[name] != cut {
				c.store.read(v, c.now)
			}
		}
	}
}

// claims returns the daemons outside the data centre cut that take over the service.
func (c *centres) claims(cut string) []string {
	var list []string
	for name, v := range c.views {
		if centreOf[name] != cut && len(v.Claims(c.now, []string{"s"})) > 0 {
			list = append(list, name)
		}
	}
	return list
}

// prober returns the daemon of data centre y that should probe the owner, and the suspect.
func (c *centres) prober() (*ownership.View, ownership.Suspect) {
	for name, v := range c.views {
		if s := v.Suspects(c.now, []string{"s"}); centreOf[name] == "y" && len(s) > 0 {
			return v, s[0]
		}
	}
	return nil, ownership.Suspect{}
}

// Guards against a service of a data centre that is cut off that has no owner for seconds: its successor lies in the same
// data centre, or waits until the record of the owner is stale although the owner does not answer either.
func TestCutCentreIsReplacedAfterAProbe(t *testing.T) {
	is := is.New(t)
	c := newCentres("x1")
	c.run(4*time.Second, "")
	for _, v := range c.views {
		is.Equal(len(v.Suspects(c.now, []string{"s"})), 0)
	}
	c.run(1100*time.Millisecond, "x")
	is.Equal(len(c.claims("x")), 0) // the age of the record is no proof yet
	prober, suspect := c.prober()
	is.True(prober != nil)
	is.Equal(suspect.Name, "x1")
	prober.Unreachable(suspect)
	is.Equal(len(c.claims("x")), 1)
}

// Guards against a takeover from an owner that was only silent for a moment: its record changed while it was probed, or
// after that.
func TestSuspectThatWritesIsAlive(t *testing.T) {
	for _, late := range []bool{false, true} {
		is := is.New(t)
		c := newCentres("x1")
		c.run(4*time.Second, "")
		c.run(1100*time.Millisecond, "x")
		prober, suspect := c.prober()
		is.True(prober != nil)
		if late {
			prober.Unreachable(suspect)
		}
		c.run(time.Second, "")
		if !late {
			prober.Unreachable(suspect) // the probe began before the record changed
		}
		is.Equal(len(c.claims("")), 0)
	}
}

// Guards against a takeover from an owner whose own record is late but which still writes the records of its service.
func TestSuspectThatServesIsAlive(t *testing.T) {
	is := is.New(t)
	c := newCentres("x1")
	c.run(4*time.Second, "")
	c.run(1100*time.Millisecond, "x")
	prober, suspect := c.prober()
	is.True(prober != nil)
	prober.Unreachable(suspect)
	c.store.setOwner("s", "x1")
	c.store.read(prober, c.now)
	is.Equal(len(c.claims("x")), 0)
}
