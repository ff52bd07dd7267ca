package caller

import (
	"io"
	"net/http"
	"strconv"

	"cuminstair.org/cuminstair"
)

// writer writes one answer to a caller.
type writer struct {
	w     http.ResponseWriter
	begun bool // a part of a long answer was written
}

// begin writes the head of a long answer, whose body follows part by part. It is the Sink of the request.
func (o *writer) begin(head *cuminstair.Message) (io.Writer, error) {
	o.begun = true
	o.head(head)
	return o.w, nil
}

// finish writes the answer, or ends a long one. A long answer that broke off ends with an aborted connection, so that
// the caller can't take it for a whole one.
func (o *writer) finish(m *cuminstair.Message) {
	if !o.begun {
		o.write(m)
		return
	}
	if m.Outcome != cuminstair.OutcomeDone {
		panic(http.ErrAbortHandler)
	}
}

// write writes a whole answer.
func (o *writer) write(m *cuminstair.Message) {
	o.w.Header().Set("Content-Length", strconv.Itoa(len(m.Body)))
	o.head(m)
	// The caller left if this fails; the outcome is recorded already.
	_, _ = o.w.Write(m.Body)
}

func (o *writer) head(m *cuminstair.Message) {
	h := o.w.Header()
	for name, values := range m.Header {
		h[http.CanonicalHeaderKey(name)] = values
	}
	if m.Status == http.StatusNoContent || m.Status == http.StatusNotModified {
		h.Del("Content-Length")
	}
	own := []string{m.Outcome.String(), string(m.Reason), m.ID}
	h["Outcome"], h["Reason"], h["Request"] = own[0:1:1], own[1:2:2], own[2:3:3]
	if m.Outcome != cuminstair.OutcomeNotRun {
		h.Del("Retry-After")
	}
	o.w.WriteHeader(m.Status)
}
