package caller

import (
	"io"
	"net/http"
	"strconv"

	"cuminstair.org/cuminstair"
)

// writer writes one answer to a caller.
type writer struct {
	w         http.ResponseWriter
	streaming bool // the head of a streamed answer was written
}

// begin writes the head of a streamed answer and returns the writer for its body. It is the Sink of the request.
func (o *writer) begin(head *cuminstair.Message) (io.Writer, error) {
	o.streaming = true
	o.head(head)
	return o.w, nil
}

// finish writes the answer, or ends a streamed one. It aborts the connection if a streamed answer is incomplete, so
// that the caller can't take it for a complete one.
func (o *writer) finish(m *cuminstair.Message) {
	if !o.streaming {
		o.write(m)
		return
	}
	if m.Outcome != cuminstair.OutcomeDone {
		panic(http.ErrAbortHandler)
	}
}

// write writes an answer that was not streamed.
func (o *writer) write(m *cuminstair.Message) {
	o.w.Header().Set("Content-Length", strconv.Itoa(len(m.Body)))
	o.head(m)
	// A failure means that the caller has disconnected; the outcome is recorded already.
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
