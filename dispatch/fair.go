package dispatch

import (
	"math"
	"time"

	"cuminstair.org/cuminstair/admission"
	"cuminstair.org/cuminstair/fair"
)

// aboveShare is the reason of the refusal of a job whose account is above its share.
const aboveShare = "the account is above its share"

// Parameters of fair sharing.
const (
	// classesPerPriority is the number of classes of one priority: work within the share of its account, and work beyond it.
	classesPerPriority = 2
	// maxPriority bounds the priority of a queue, so that classes stay small numbers.
	maxPriority = 1000
	// earlyReturn is how much earlier than it was told a caller may come back, since Retry-After is rounded to seconds.
	earlyReturn = 500 * time.Millisecond
)

// class returns the class of a job among jobs of one rank: the priority of its queue comes first, and then whether its account
// is above its share. Without client accounts there is one class.
func (s *Service) class(now time.Time, j *job) int {
	if s.accounts == nil {
		return 0
	}
	c := classesPerPriority * min(max(j.queue.Priority, 0), maxPriority)
	if s.yields(now, j) {
		c++
	}
	return c
}

// stepClass returns the class of a step. Long-running steps have no share. The class of a step whose result comes too late only
// follows its priority, so that it is started in the order of latest starts.
func (s *Service) stepClass(now time.Time, st *step) int {
	switch {
	case st.LongRunning:
		return 0
	case st.rank == rankStale:
		return s.class(now, st.occ.job) / classesPerPriority * classesPerPriority
	}
	return s.class(now, st.occ.job)
}

// yields reports whether a job runs after the jobs of accounts below their share: it was accepted beyond the share of its
// account, and the account is still above it.
func (s *Service) yields(now time.Time, j *job) bool {
	return j.surplus && s.accounts != nil && s.fairShares.Above(now, j.account)
}

// hasShare reports whether a job counts towards the share of a client account.
func (s *Service) hasShare(j *job) bool {
	if j.account == "" {
		return false
	}
	_, ok := s.accounts[j.account]
	return ok
}

// recordAccountOffer adds a job that is submitted for the first time to the work that its account has offered.
func (s *Service) recordAccountOffer(now time.Time, j *job) {
	if s.hasShare(j) {
		s.fairShares.Offered(now, j.account, s.accounts[j.account].Weight, s.totalWork(j))
	}
}

// recordAccepted adds an accepted job to the work of its account.
func (s *Service) recordAccepted(now time.Time, j *job, work float64) {
	if s.hasShare(j) {
		s.fairShares.Accepted(now, j.account, work)
	}
}

// applyShare completes an admission request by the share of the job's account, and reports whether the account is above it.
// A caller that was promised room comes back below the share of its account.
func (s *Service) applyShare(now time.Time, j *job, pool admission.Pool, request *admission.Job) bool {
	j.surplus = false
	if s.accounts == nil {
		return false
	}
	s.fairShares.Fill(now, (pool.Cores+pool.ExtraCores)*pool.Utilization)
	if s.hasShare(j) && !s.promised(now, j) {
		j.surplus = s.fairShares.Above(now, j.account)
	}
	request.Class = s.class(now, j)
	return j.surplus
}

// promised reports whether the caller of a job was told that its account has room for it by now.
func (s *Service) promised(now time.Time, j *job) bool {
	r, ok := s.denied[j.id]
	return ok && !r.roomAt.IsZero() && !now.Before(r.roomAt.Add(-earlyReturn))
}

// promiseLimit returns the longest wait after which a job that would end at finish can still end by expiry, although the wait is
// spread and rounded. A wait below minWait is never told.
func (s *Service) promiseLimit(finish, expiry time.Time) time.Duration {
	limit := time.Duration(float64(expiry.Sub(finish)-earlyReturn) / (1 + spreadShare))
	if limit < minWait {
		return -1
	}
	return limit
}

// waitForShare returns how long the caller of a refused job should wait until the share of its account has room for it. A
// caller that can be served then is promised the room; any other is told to wait until its result is of no use any more.
func (s *Service) waitForShare(now time.Time, j *job, request *admission.Job, lateFinish time.Time) time.Duration {
	wait, promised := s.fairShares.Book(now, j.account, request.Work, s.promiseLimit(lateFinish, request.Expiry))
	if wait = max(wait, minWait); !promised {
		wait = min(max(wait, request.Expiry.Sub(now)+earlyReturn), fair.MaxWait) // until then it would be refused again
	}
	r := s.denied[j.id]
	r.roomAt = time.Time{}
	if promised {
		r.roomAt = now.Add(wait)
	}
	s.denied[j.id] = r
	return wait
}

// refuseAboveShare refuses a job because its account is above its share.
func (s *Service) refuseAboveShare(now time.Time, j *job, request *admission.Job, lateFinish time.Time) Result {
	s.counts.AboveShare++
	standing := s.fairShares.Standing(now, j.account)
	wait := s.waitForShare(now, j, request, lateFinish)
	return Result{Outcome: Refused, Wait: s.spread(wait), Why: aboveShare, inputs: []any{
		"account", j.account, "share", math.Round(standing.Share), "accepted", math.Round(standing.Accepted),
		"offered", math.Round(standing.Offered), "others", math.Round(standing.Others),
	}}
}
