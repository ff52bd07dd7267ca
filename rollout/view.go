package rollout

import "time"

// view tells whether what a daemon knows may be used for new work. A daemon that is paused for longer than ViewAge does
// not know what happened meanwhile; one that runs learns of it within ViewAge or shares the outage with its peers.
type view struct {
	last    time.Time // the last sign that the daemon runs
	resumed time.Time // when it woke from the last long pause; zero if that was confirmed
	needs   uint64    // the generation that an answer named; once it is in force the view is confirmed
}

func (v *view) beat(now time.Time) {
	if !v.last.IsZero() && now.Sub(v.last) > ViewAge {
		v.resumed, v.needs = now, 0
	}
	v.last = now
}

// confirm takes an answer to a question that was asked at a time: gen is accepted, and force is in force. An answer to
// a question from before the pause proves nothing.
func (v *view) confirm(asked time.Time, gen, force uint64) {
	if asked.Before(v.resumed) || v.resumed.IsZero() {
		return
	}
	v.needs = max(v.needs, gen, 1)
	v.installed(force)
}

func (v *view) installed(gen uint64) {
	if v.needs > 0 && gen >= v.needs {
		v.resumed, v.needs = time.Time{}, 0
	}
}

// Usable is called before each dispatch of new work. It returns false after a pause of more than ViewAge, until the
// platform or a peer of the data centre has answered a question that was asked after the pause.
func (n *Node) Usable(now time.Time) bool {
	n.view.beat(now)
	return n.view.resumed.IsZero()
}
