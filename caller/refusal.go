package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"cuminstair.org/cuminstair"
)

// minRetryAfter is the shortest time that a refused caller is asked to wait, since Retry-After counts whole seconds.
const minRetryAfter = time.Second

// Refusal is an answer that the daemon gives itself.
type Refusal struct {
	Reason cuminstair.Reason
	Status int           // 0: the one of the reason
	After  time.Duration // when to come back; 0: minRetryAfter
	Text   string        // what happened and, for a malformed request, what to change
}

// statuses maps reasons to HTTP status codes. A reason that is missing here means that nothing took the request.
var statuses = map[cuminstair.Reason]int{
	cuminstair.ReasonMalformed: http.StatusBadRequest,
	cuminstair.ReasonExpired:   http.StatusBadRequest,
	cuminstair.ReasonNoService: http.StatusNotFound,
	cuminstair.ReasonQuota:     http.StatusTooManyRequests,
	cuminstair.ReasonBroken:    http.StatusGatewayTimeout,
	cuminstair.ReasonDeadline:  http.StatusGatewayTimeout,
	cuminstair.ReasonMismatch:  http.StatusGatewayTimeout,
	cuminstair.ReasonSilent:    http.StatusGatewayTimeout,
	cuminstair.ReasonHomeGone:  http.StatusGatewayTimeout,
}

// message returns the refusal as an answer; its outcome is set by the caller.
func (r Refusal) message(id string) *cuminstair.Message {
	status := r.Status
	if status == 0 {
		status = statuses[r.Reason]
	}
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	seconds := math.Ceil(max(r.After, minRetryAfter).Seconds())
	return &cuminstair.Message{
		ID:     id,
		Status: status,
		Reason: r.Reason,
		Header: map[string][]string{
			"Content-Type": {"text/plain; charset=utf-8"},
			"Retry-After":  {strconv.Itoa(int(seconds))},
		},
		Body: []byte(r.Text),
	}
}

// refuse makes the refusal the answer. After an attempt that may have run, the outcome is unknown whatever the refusal
// of the next attempt was, and the event says so.
func (x *exchange) refuse(r Refusal) event {
	if x.mayRun {
		r.Status = http.StatusGatewayTimeout
	}
	x.answer = r.message(x.message.ID)
	if x.mayRun {
		delete(x.answer.Header, "Retry-After")
		return eventLost
	}
	return eventRefused
}
