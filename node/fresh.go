package node

import (
	"time"

	"cuminstair.org/cuminstair/rollout"
)

// freshFor is how long a positive result of fresh is cached. It is far below rollout.ViewAge, so that a pause of the
// process that makes the view too old is always noticed. The cache keeps requests from waiting while a configuration is
// installed.
const freshFor = time.Second

// fresh reports whether the view of the hosts may be used for new work.
func (n *Node) fresh() bool {
	now := n.Timer.Now()
	if now.Sub(time.Unix(0, n.freshAt.Load())) < freshFor {
		return true
	}
	ok := false
	n.config.View(func(r *rollout.Node) { ok = r.Usable(now) })
	if ok {
		n.freshAt.Store(now.UnixNano())
	}
	return ok
}
