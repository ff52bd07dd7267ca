package locality

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func choice(change func(*Choice)) *Choice {
	c := &Choice{Factor: 2, Duration: time.Second, Wait: 500 * ms, Slack: 10 * time.Second}
	change(c)
	return c
}

// Guards against waits that do not pay off, waits beyond the latest start, and starts that are late although a wait is in time.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Choice)
		wait   bool
		bound  time.Duration
	}{
		{"gain above the wait", func(*Choice) {}, true, time.Second},
		{"gain below the wait", func(c *Choice) { c.Wait = 1100 * ms }, false, time.Second},
		{"small factor", func(c *Choice) { c.Factor = 1.3 }, false, 300 * ms},
		{"short task", func(c *Choice) { c.Duration = 400 * ms }, false, 400 * ms},
		{"not on the longest chain", func(c *Choice) { c.Wait, c.Float = 1900*ms, 2*time.Second }, true, 2 * time.Second},
		{"beyond the float", func(c *Choice) { c.Wait, c.Float = 2100*ms, 2*time.Second }, false, 2 * time.Second},
		{"rack wanted by others", func(c *Choice) { c.Here = 0.6 }, false, 400 * ms},
		{"float, but the rack is wanted by others", func(c *Choice) { c.Float, c.Here = time.Second, 1 }, false, 0},
		{"room is short everywhere", func(c *Choice) { c.Wait, c.Here, c.There = 1400*ms, 0.5, 0.5 }, true, 1500 * ms},
		{"past its latest start", func(c *Choice) { c.Slack = -ms }, false, 0},
		{"wait up to the latest start", func(c *Choice) { c.Slack = 700 * ms }, true, 700 * ms},
		{"only the wait is in time", func(c *Choice) { c.Slack, c.Here = 700*ms, 0.9 }, true, 700 * ms},
		{"only the other rack is in time", func(c *Choice) { c.Wait, c.Slack, c.Float = 1500*ms, 1200*ms, 5*time.Second }, false, 1200 * ms},
		{"neither is in time", func(c *Choice) { c.Slack = 400 * ms }, true, 400 * ms},
		{"no room comes free", func(c *Choice) { c.Wait, c.Float = maxWait, time.Minute }, false, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := Decide(choice(c.change))
			is.Equal(v.Wait, c.wait)
			is.Equal(v.Bound.Round(ms), c.bound)
		})
	}
}

// Guards against a task that waits again and again because each decision allows a new wait.
func TestWaitingEnds(t *testing.T) {
	is := is.New(t)
	var w Waiting
	now := time.Unix(1e9, 0)
	c := choice(func(*Choice) {})
	is.True(!w.Began())
	is.True(w.Decide(now, c).Wait)
	is.True(w.Decide(now.Add(999*ms), c).Wait)
	is.True(!w.Decide(now.Add(1000*ms), c).Wait)
	is.True(!w.Decide(now.Add(time.Minute), c).Wait)
	is.True(w.Began())
}

// Guards against estimates that ignore the tasks before, what runs on a rack, and ends that are long past.
func TestWaitForARack(t *testing.T) {
	is := is.New(t)
	var r Racks
	now := time.Unix(1e9, 0)
	pass := func() {
		r.Begin(now)
		r.Add("a", 100, 50)
		r.Add("b", 100, 0)
	}
	pass()
	is.Equal(r.Wait("a", 10, time.Second), 200*ms) // 50 cores run, for about a second
	is.Equal(r.Wait("b", 10, time.Second), maxWait)
	r.Queue("a", 10)
	is.Equal(r.Wait("a", 10, time.Second), 400*ms)
	r.Queue("", 50)
	is.Equal(r.Wait("a", 10, time.Second), 1400*ms)
	for range 400 { // 100 cores/s
		now = now.Add(10 * ms)
		r.Freed(now, "a", 1, 500*ms)
	}
	pass()
	soon := r.Wait("a", 10, time.Second)
	is.True(soon > 90*ms && soon < 110*ms)
	now = now.Add(5 * time.Second)
	pass()
	is.True(r.Wait("a", 10, time.Second) > 2*soon)
	now = now.Add(time.Hour)
	r.Begin(now)
	is.Equal(len(r.racks), 2) // forgotten in the pass after their workers are gone
	r.Begin(now)
	is.Equal(len(r.racks), 0)
}

// Guards against a rack that many tasks want being as cheap as another, and against a price that outlasts its cause.
func TestPrice(t *testing.T) {
	is := is.New(t)
	var r Racks
	now := time.Unix(1e9, 0)
	r.Wanted(now, "a", 100*decayTime.Seconds())
	r.Begin(now)
	r.Add("a", 100, 100)
	r.Add("b", 100, 0)
	is.Equal(r.Price("a", 2.5), 1.5)
	is.Equal(r.Price("b", 2.5), 0.0)
	r.Queue("a", 60)
	r.Queue("", 40)
	now = now.Add(20 * decayTime)
	r.Begin(now)
	r.Add("a", 100, 100)
	r.Add("b", 100, 0)
	is.True(r.Price("a", 2.5) < 0.501) // half of the pool would be taken by what waits
	is.Equal(r.Price("", 2.5), 0.5)
}
