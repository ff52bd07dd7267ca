package dispatch

import "time"

// Ages of the workers' entries in the list.
const (
	// entryMaxAge is how long after the store's last confirmation the entries of the workers may be used. Workers rewrite
	// them every 1.5 s, and their capacity may shrink.
	entryMaxAge = 2500 * time.Millisecond
	// rewriteTime is how long after an outage of the store the last worker has written its entry again.
	rewriteTime = 2200 * time.Millisecond
)

// outage is the last time in which the store did not confirm the owner for longer than entryMaxAge. Capacities may have
// shrunk meanwhile, so a worker gets no tasks from entryMaxAge after the last confirmation until it has written its entry
// again.
type outage struct {
	confirmedAt time.Time // last confirmation
	endedAt     time.Time // first confirmation after the last outage; zero: there was none
}

// observe records the confirmation that is known now.
func (o *outage) observe(now, before, confirmed time.Time) {
	o.confirmedAt = confirmed
	if !before.IsZero() && confirmed.Sub(before) > entryMaxAge {
		o.endedAt = now
	}
}

// outdated reports whether a worker may get no tasks because of an outage.
func (o *outage) outdated(now time.Time, w *worker) bool {
	if now.Sub(o.confirmedAt) > entryMaxAge {
		return true
	}
	return now.Sub(o.endedAt) < rewriteTime && w.listedAt.Before(o.endedAt)
}
