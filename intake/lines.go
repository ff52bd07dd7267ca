package intake

import "time"

// linePause is the least time between two log lines about one limit.
const linePause = 10 * time.Second

// Lines bounds the log lines about limits. The zero value is ready. It is not safe for concurrent use.
type Lines struct {
	last [reasons]time.Time
	left [reasons]int
}

// Next reports whether a line about a limit may be logged, and how many were left out since the last one.
func (l *Lines) Next(now time.Time, r Reason) (leftOut int, ok bool) {
	if !l.last[r].IsZero() && now.Sub(l.last[r]) < linePause {
		l.left[r]++
		return 0, false
	}
	leftOut = l.left[r]
	l.last[r], l.left[r] = now, 0
	return leftOut, true
}
