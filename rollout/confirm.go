package rollout

// peerState is the latest known state of a peer.
type peerState struct {
	incarnation uint64
	gen         uint64
	failed      bool // a fetch from it failed; it is tried again after the other sources
}

// Confirm records that a daemon has a generation in force. A message of an older incarnation is ignored, and so is a
// lower generation of the same incarnation, since messages may be reordered.
func (n *Node) Confirm(daemon string, incarnation, gen uint64) {
	if n.peerStates == nil {
		n.peerStates = make(map[string]peerState)
	}
	state, known := n.peerStates[daemon]
	switch {
	case known && incarnation < state.incarnation:
	case known && incarnation == state.incarnation:
		if gen > state.gen {
			state.gen, state.failed = gen, false
		}
		n.peerStates[daemon] = state
	default:
		n.peerStates[daemon] = peerState{incarnation: incarnation, gen: gen}
	}
}

// InForce splits daemons into those that have confirmed a generation, or a later one, and those that have not.
func (n *Node) InForce(daemons []string, gen uint64) (in, missing []string) {
	for _, d := range daemons {
		has := n.peerStates[d].gen
		if d == n.Name {
			has = n.inForce.Gen
		}
		if has >= gen {
			in = append(in, d)
		} else {
			missing = append(missing, d)
		}
	}
	return in, missing
}
