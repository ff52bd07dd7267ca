package dispatch

import (
	"time"
)

// clockAtLeast returns a lower bound of the worker's clock at now.
func (w *worker) clockAtLeast(now time.Time) time.Duration {
	since := now.Sub(w.clockAt)
	return w.clock + since - time.Duration(maxClockSlowdown*float64(since))
}

// leaseExpired reports whether all runs on the worker under this owner's token have certainly ended. A worker that has
// restarted and has not been read gets no leases, and has the longest one at most.
func (s *Service) leaseExpired(w *worker, now time.Time) bool {
	if w.failingSince.Before(w.lateUntil) && now.Sub(w.failingSince) <= s.longestLease() {
		return false
	}
	if w.restarted && !w.synced {
		return now.Sub(w.knownSince) > s.longestLease()
	}
	if !w.synced {
		return s.inherited[w.info.ID] // its runs have no answer to their starts, so that their own times decide
	}
	return w.clockAtLeast(now) > max(w.lease, w.heldLease)+leaseMargin
}

// longestLease is how long a worker may run tasks after an order, whatever its lease, on the slowest clock.
func (s *Service) longestLease() time.Duration {
	longest := s.Bounds.MaxLease
	return longest + time.Duration(maxClockSlowdown*float64(longest)) + leaseMargin
}

// nextLease returns the lease to send now. A worker that does not answer keeps its present lease, so that its tasks end
// for certain. No lease outlasts the time for which the owner may give orders, and none is longer than Lease on the
// slowest clock that the worker may have, so that the next owner knows when all leases have run out.
func (s *Service) nextLease(now time.Time, w *worker) time.Duration {
	if w.failedCalls > 0 {
		return w.lease
	}
	length := Lease
	if s.Grace > 0 {
		length = max(0, min(Lease, s.confirmedAt.Add(s.Grace).Sub(now)))
	}
	w.lease, w.leaseSentAt = max(w.lease, w.clockAtLeast(now)+length, s.leaseSinceRestart(w)), now
	return w.lease
}

// leaseSinceRestart returns the lease that the worker may hold since its restart, as a time on its clock; 0: none. The next owner
// knows of the restart, and waits for the longest lease from its takeover on, which is after the last confirmation of this one.
func (s *Service) leaseSinceRestart(w *worker) time.Duration {
	if !w.recorded || !w.restarted && !w.longLease {
		return 0
	}
	return min(w.heldLease, w.clockAtLeast(s.confirmedAt)+s.Bounds.MaxLease)
}
