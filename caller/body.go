package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
)

// past is a deadline that makes a blocked read return at once.
var past = time.Unix(1, 0)

// readRequest sets the timeout and the body of m. text is the header Deadline, a duration; the body has to arrive
// within it.
func (s *Server) readRequest(c echo.Context, m *cuminstair.Message, text string) *Refusal {
	r := c.Request()
	if text == "" {
		return malformed("header Deadline is missing: give the time that the request may take, such as 1500ms")
	}
	limit, err := time.ParseDuration(text)
	if err != nil || limit <= 0 {
		return malformed("header Deadline: %q is not a time such as 1500ms", text)
	}
	if r.ContentLength > MaxBody {
		return oversized()
	}
	arrived := s.Path.Timer.Now()
	m.Timeout = limit
	if r.ContentLength == 0 {
		return nil
	}
	if refusal := s.readBody(c, m, limit); refusal != nil {
		return refusal
	}
	m.Timeout = limit - s.Path.Timer.Now().Sub(arrived)
	if m.Timeout <= 0 {
		return late()
	}
	return nil
}

func (s *Server) readBody(c echo.Context, m *cuminstair.Message, limit time.Duration) *Refusal {
	r := c.Request()
	rc := http.NewResponseController(c.Response().Writer)
	defer s.Path.Timer.After(limit, func(time.Time) { _ = rc.SetReadDeadline(past) })()
	var err error
	if r.ContentLength > 0 {
		m.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, m.Body)
	} else {
		m.Body, err = io.ReadAll(http.MaxBytesReader(c.Response().Writer, r.Body, MaxBody))
	}
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLong):
		return oversized()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return malformed("the body is shorter than its Content-Length")
	default:
		return late()
	}
}

func late() *Refusal {
	return &Refusal{Reason: cuminstair.ReasonLate, Text: "the body did not arrive before the deadline"}
}
