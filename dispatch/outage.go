package dispatch

import "time"

// Ages of the workers' entries in the list.
const (
	// EntryMaxAge is how long after the last read of the list the entries of the workers may be used. Workers rewrite them every
	// 1.5 s, and their capacity may shrink.
	EntryMaxAge = 2800 * time.Millisecond
	// rewriteTime is how long after an outage of the store the last worker has written its entry again.
	rewriteTime = 2200 * time.Millisecond
)

// outage is the last time in which the list of workers could not be read for longer than EntryMaxAge. Capacities may have
// shrunk meanwhile, so a worker gets no tasks from EntryMaxAge after the last read until it has written its entry again.
type outage struct {
	readAt  time.Time // when the last successful read of the list was sent; zero: not known
	endedAt time.Time // first read after the last outage; zero: there was none
}

// observe records the last read of the list.
func (o *outage) observe(now, readAt time.Time) {
	if !o.readAt.IsZero() && readAt.Sub(o.readAt) > EntryMaxAge {
		o.endedAt = now
	}
	o.readAt = readAt
}

// outdated reports whether a worker may get no tasks because of an outage.
func (o *outage) outdated(now time.Time, w *worker) bool {
	if !o.readAt.IsZero() && now.Sub(o.readAt) > EntryMaxAge {
		return true
	}
	return now.Sub(o.endedAt) < rewriteTime && w.listedAt.Before(o.endedAt)
}

// SetListRead records when the last successful read of the list of workers was sent.
func (s *Service) SetListRead(sent time.Time) { s.listReadAt = sent }

// ListDue reports, once, that a worker has restarted and gets no tasks until its entry has been read: the list of workers should be read
// early.
func (s *Service) ListDue(now time.Time) bool {
	if !s.listDue || now.Sub(s.listAskedAt) < listGap {
		return false
	}
	s.listDue, s.listAskedAt = false, now
	return true
}

// SetOutageEnd records when the store answered this daemon again after an outage before the takeover.
func (s *Service) SetOutageEnd(at time.Time) { s.outage.endedAt = at }
