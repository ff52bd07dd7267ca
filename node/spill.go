package node

import (
	"context"
	"math/rand/v2"
	"sync"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/member"
)

var _ cuminstair.Spill = (*spill)(nil)

// spillTries limits the data centres that are tried for one request, so that an overload does not spread over the whole
// fleet.
const spillTries = 2

// spill forwards requests to daemons of other data centres, those of this daemon's region first.
type spill struct {
	node *Node

	mu   sync.Mutex
	rand *rand.Rand
}

// Spill implements cuminstair.Spill.
func (s *spill) Spill(ctx context.Context, m *cuminstair.Message) *cuminstair.Message {
	for i, name := range s.candidates() {
		if i >= spillTries || ctx.Err() != nil {
			return nil
		}
		answer := s.node.network.Forward(ctx, name, m)
		if answer.Outcome != cuminstair.OutcomeNotRun {
			return answer
		}
	}
	return nil
}

// candidates returns one usable daemon of each other data centre in random order, those of this daemon's region first.
func (s *spill) candidates() []string {
	byCentre := map[string][]string{}
	var centres []string
	for _, m := range s.node.network.list() {
		if m.Centre == s.node.Settings.Centre || m.Health != member.Healthy || m.State != member.Alive {
			continue
		}
		if byCentre[m.Centre] == nil {
			centres = append(centres, m.Centre)
		}
		byCentre[m.Centre] = append(byCentre[m.Centre], m.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rand.Shuffle(len(centres), func(i, j int) { centres[i], centres[j] = centres[j], centres[i] })
	var sameRegion, otherRegions []string
	for _, c := range centres {
		name := byCentre[c][s.rand.IntN(len(byCentre[c]))]
		if s.node.view.sameRegion(c) {
			sameRegion = append(sameRegion, name)
		} else {
			otherRegions = append(otherRegions, name)
		}
	}
	return append(sameRegion, otherRegions...)
}
