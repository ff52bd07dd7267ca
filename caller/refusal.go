package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"cuminstair.org/cuminstair"
)

// minRetryAfter is the shortest time in the header Retry-After, which counts whole seconds.
const minRetryAfter = time.Second

// Refusal is an answer from the daemon itself instead of an upstream.
type Refusal struct {
	Reason     cuminstair.Reason
	Status     int           // HTTP status; 0: that of the reason in statuses
	RetryAfter time.Duration // how long the caller has to wait; message raises it to at least minRetryAfter
	Text       string        // what happened and, for a malformed request, what to change
}

// statuses maps reasons to HTTP status codes. The reasons that are missing here give 503: no upstream took the request.
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

// message returns the refusal as an answer, without an outcome.
func (r Refusal) message(id string) *cuminstair.Message {
	status := r.Status
	if status == 0 {
		status = statuses[r.Reason]
	}
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	seconds := math.Ceil(max(r.RetryAfter, minRetryAfter).Seconds())
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

// refuse sets the refusal as the answer and returns eventRefused. After an attempt that may have run, it returns
// eventLost whatever the refusal, since the outcome is unknown.
func (x *exchange) refuse(r Refusal) event {
	if x.mayHaveRun {
		r.Status = http.StatusGatewayTimeout
	}
	x.answer = r.message(x.message.ID)
	if x.mayHaveRun {
		delete(x.answer.Header, "Retry-After")
		return eventLost
	}
	return eventRefused
}
