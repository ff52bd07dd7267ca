package rollout

// inForce is what is known of a peer.
type inForce struct {
	incarnation uint64
	gen         uint64
	failed      bool // a fetch from it failed; it is asked again after the other sources
}

// Confirm notes that a daemon has a generation in force. An older incarnation of it is passed over, and so is a lower
// generation of the same one, since messages may be reordered.
func (n *Node) Confirm(daemon string, incarnation, gen uint64) {
	if n.heard == nil {
		n.heard = make(map[string]inForce)
	}
	x, known := n.heard[daemon]
	switch {
	case known && incarnation < x.incarnation:
	case known && incarnation == x.incarnation:
		if gen > x.gen {
			x.gen, x.failed = gen, false
		}
		n.heard[daemon] = x
	default:
		n.heard[daemon] = inForce{incarnation: incarnation, gen: gen}
	}
}

// InForce splits daemons into those that have confirmed a generation, or a later one, and those that have not.
func (n *Node) InForce(daemons []string, gen uint64) (in, missing []string) {
	for _, d := range daemons {
		has := n.heard[d].gen
		if d == n.Name {
			has = n.force.Gen
		}
		if has >= gen {
			in = append(in, d)
		} else {
			missing = append(missing, d)
		}
	}
	return in, missing
}
