package rollout

import "time"

// view tracks whether this daemon's view of the fleet is recent enough for new work. A daemon that was paused for
// longer than ViewAge has missed the changes in that time. A running daemon learns of changes within ViewAge, or is in
// the same outage as its peers.
type view struct {
	last     time.Time // the last time at which the daemon was known to run
	resumed  time.Time // end of the last long pause; zero once the view was confirmed after it
	required uint64    // highest generation that an answer named; the view is confirmed once it is in force
}

func (v *view) observe(now time.Time) {
	if !v.last.IsZero() && now.Sub(v.last) > ViewAge {
		v.resumed, v.required = now, 0
	}
	v.last = now
}

// confirm processes an answer to a request that was sent at asked: gen is the accepted generation, and inForce the one
// in force here. An answer to a request from before the pause does not confirm the view.
func (v *view) confirm(asked time.Time, gen, inForce uint64) {
	if asked.Before(v.resumed) || v.resumed.IsZero() {
		return
	}
	v.required = max(v.required, gen, 1)
	v.installed(inForce)
}

func (v *view) installed(gen uint64) {
	if v.required > 0 && gen >= v.required {
		v.resumed, v.required = time.Time{}, 0
	}
}

// Usable must be called before each dispatch of new work. It returns false after a pause of more than ViewAge, until
// the platform or a peer of the data centre has answered a request that was sent after the pause.
func (n *Node) Usable(now time.Time) bool {
	n.view.observe(now)
	return n.view.resumed.IsZero()
}
