package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/ownership"
)

// Guards against an owner that counts as alive by its first heartbeat after a cut, although another daemon may have taken its
// service over meanwhile: the heartbeat is stored in any case.
func TestHeartbeatAfterACutIsNoProofOfOwnership(t *testing.T) {
	is := is.New(t)
	d, _ := peerDaemon()
	r := newRunner(d, "s", 9, ownership.Owner{Name: "d1"}, true)
	r.confirmedAt = peerTime
	before, after := peerTime, peerTime.Add(2*time.Second)
	d.wroteAt.Store(&before)
	is.Equal(r.aliveAt(), before)
	d.wroteAt.Store(&after)
	is.True(r.aliveAt().Before(after)) // the store has not named this owner since the cut
}

// Guards against an owner that counts as alive by a heartbeat while its last offer may still be accepted: up to maxOffers daemons
// are asked one after the other.
func TestOffersCountUntilTheLastMayHaveBeenAccepted(t *testing.T) {
	is := is.New(t)
	is.True(offerTime >= maxOffers*peerTimeout)
}
