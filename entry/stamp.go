package entry

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cuminstair.org/cuminstair/dispatch"
)

// stamp is the timestamp of an owner's answer. A daemon echoes the latest one in its calls, which shows the owner that a
// call was sent after the stamp was issued, without a comparison of clocks between hosts.
type stamp struct {
	Runner string        `json:"runner,omitempty"` // unique for each runner of a service; empty: only the token is known
	Token  uint64        `json:"token"`            // fencing token of the runner
	At     time.Duration `json:"at,omitempty"`     // since the runner was made, on its daemon's clock, in nanoseconds
}

// String returns the stamp as it is logged.
func (t *stamp) String() string {
	if t == nil {
		return "none"
	}
	return fmt.Sprintf("%s/%d+%s", t.Runner, t.Token, t.At.Round(time.Millisecond))
}

// stamp returns the stamp of an answer to a call that is handled at now.
func (r *runner) stamp(now time.Time) *stamp {
	return &stamp{Runner: r.id, Token: r.token, At: now.Sub(r.takenAt)}
}

// issuedAt returns when this runner issued a stamp, or the zero time if it did not.
func (r *runner) issuedAt(now time.Time, t *stamp) time.Time {
	if t == nil || t.Runner != r.id || t.Token != r.token || t.At > now.Sub(r.takenAt) {
		return time.Time{}
	}
	return r.takenAt.Add(t.At)
}

// mayBeLate reports whether a forwarded call may be a late copy of a call that was answered otherwise. Readings change
// nothing.
func (r *runner) mayBeLate(now time.Time, x call) bool {
	switch x.method {
	case http.MethodPost:
		return r.state.MayBeLate(now, x.id, x.openAt)
	case http.MethodDelete:
		return r.state.CancelMayBeLate(now, x.id, x.openAt)
	}
	return false
}

// denies reports whether the answer says that the call has changed nothing and never will.
func (a *callReply) denies() bool {
	return a.Outcome != dispatch.Accepted && a.Outcome != dispatch.Uncertain
}

// stamps has the latest stamp of each service.
type stamps struct {
	mu        sync.Mutex
	byService map[string]stamp
}

// latest returns the latest stamp of a service, or nil.
func (s *stamps) latest(service string) *stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.byService[service]; ok {
		return &t
	}
	return nil
}

// observe records a stamp and returns false if it is of a former owner: one with a lower token than an owner that this
// daemon has heard of. A missing stamp is of an earlier version and counts as the present owner's.
func (s *stamps) observe(service string, t *stamp) bool {
	if t == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.byService[service]
	if ok && t.Token < last.Token {
		return false
	}
	// A stamp without a runner tells the token only.
	if !ok || t.Token > last.Token || t.Runner != "" && (t.Runner != last.Runner || t.At > last.At) {
		if s.byService == nil {
			s.byService = map[string]stamp{}
		}
		s.byService[service] = *t
	}
	return true
}
