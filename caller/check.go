package caller

import (
	"fmt"
	"net/http"

	"cuminstair.org/cuminstair"
)

// validate checks a request against the fleet. It returns a refusal that says what to change, or nil.
func (x *exchange) validate() *Refusal {
	v := x.Decisions.view.Load()
	if v == nil {
		return &Refusal{Reason: cuminstair.ReasonNoUpstream, Text: "this daemon has no fleet configuration yet"}
	}
	m := x.message
	x.service = v.services[m.Service]
	if x.service == nil {
		return &Refusal{
			Reason: cuminstair.ReasonNoService,
			Text:   fmt.Sprintf("service %q is unknown; the services are: %s", m.Service, names(v.services)),
		}
	}
	if !v.teams[m.Team] {
		return malformed("header Team: team %q is unknown", m.Team)
	}
	kind, ok := x.service.kinds[m.Kind]
	if !ok {
		return malformed("header Kind: service %s has no kind %q; its kinds are: %s", m.Service, m.Kind, names(x.service.kinds))
	}
	if m.Timeout <= 0 {
		return malformed("header Deadline: give the time that the request may take, such as 1500ms")
	}
	if m.Timeout > kind.Deadline.D() {
		return malformed("header Deadline: %s is longer than %s, the longest for kind %s", m.Timeout, kind.Deadline, m.Kind)
	}
	return nil
}

func malformed(format string, args ...any) *Refusal {
	return &Refusal{Reason: cuminstair.ReasonMalformed, Text: fmt.Sprintf(format, args...)}
}

func oversized() *Refusal {
	return &Refusal{
		Reason: cuminstair.ReasonMalformed,
		Status: http.StatusRequestEntityTooLarge,
		Text:   fmt.Sprintf("the body is longer than %d bytes", MaxBody),
	}
}
