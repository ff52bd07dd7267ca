package node

import (
	"net/http"
	"time"

	"cuminstair.org/cuminstair"
)

// lookupMethod is the method of a message that asks a peer for the outcome of a ticket; callers can't send it.
const lookupMethod = "LOOKUP"

// lookupTimeout bounds a lookup of the outcome of a ticket.
const lookupTimeout = 2 * time.Second

// reply returns an answer that this daemon generates itself.
func reply(m *cuminstair.Message, o cuminstair.Outcome, r cuminstair.Reason, text string) *cuminstair.Message {
	return &cuminstair.Message{
		ID:      m.ID,
		Status:  statusOf(o, r),
		Outcome: o,
		Reason:  r,
		Header:  map[string][]string{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:    []byte(text + "\n"),
	}
}

func statusOf(o cuminstair.Outcome, r cuminstair.Reason) int {
	switch {
	case o == cuminstair.OutcomeDone:
		return http.StatusOK
	case r == cuminstair.ReasonMalformed || r == cuminstair.ReasonExpired:
		return http.StatusBadRequest
	case o == cuminstair.OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
