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
//
// A denied call must not be carried out by a copy of it that arrives later. Let the owner with token k act on a copy. The
// daemon that sent it had a stamp of k by then, and was denied the call later, by the owner with token j:
//   - j < k: the daemon knows k, and ignores denials of owners with lower tokens.
//   - j = k: the owner denied the call after it issued the stamp. It remembers that, or the stamp is too old (MayBeLate).
//   - j > k: k's write fails in the store, or j has read the job and does not deny it.
type stamp struct {
	Runner string        `json:"runner,omitempty"` // unique for each runner of a service
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

// requestStamp returns the stamp of a request to the owner of a service: the latest one, or an empty one if none is known. Only
// daemons of an earlier version send none.
func (d *Daemon) requestStamp(service string) *stamp {
	if s := d.stamps.latest(service); s != nil {
		return s
	}
	return &stamp{}
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
// daemon has heard of. An owner of an earlier version sends no stamp; its token is not known, so that it counts as a former
// owner once another one has sent a stamp.
func (s *stamps) observe(service string, t *stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.byService[service]
	if t == nil {
		return !ok
	}
	if ok && t.Token < last.Token {
		return false
	}
	if !ok || t.Token > last.Token || t.Runner != last.Runner || t.At > last.At {
		if s.byService == nil {
			s.byService = map[string]stamp{}
		}
		s.byService[service] = *t
	}
	return true
}
