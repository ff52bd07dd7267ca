package node

import (
	"time"

	"cuminstair.org/cuminstair/rollout"
)

// seenFor is how long a view that was found usable is not looked at again. It is far below rollout.ViewAge, so that a
// pause that matters is always noticed, and it keeps requests from waiting while a configuration is installed.
const seenFor = time.Second

// fresh reports whether the view of the hosts may be used for new work.
func (n *Node) fresh() bool {
	now := n.Timer.Now()
	if now.Sub(time.Unix(0, n.seen.Load())) < seenFor {
		return true
	}
	ok := false
	n.config.View(func(r *rollout.Node) { ok = r.Usable(now) })
	if ok {
		n.seen.Store(now.UnixNano())
	}
	return ok
}
