package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
)

// past is a deadline that makes a blocked read return at once.
var past = time.Unix(1, 0)

// within reads the header Deadline and compares the length of the body with its bound.
func within(r *http.Request, text string) (time.Duration, *Refusal) {
	if text == "" {
		return 0, malformed("header Deadline is missing: give the time that the request may take, such as 1500ms")
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, malformed("header Deadline: %q is not a time such as 1500ms", text)
	}
	if r.ContentLength > MaxBody {
		return 0, oversized()
	}
	return d, nil
}

// take reads the body of a request and takes the request to its outcome. One timer bounds both.
func (s *Server) take(c echo.Context, m *cuminstair.Message, d time.Duration) *cuminstair.Message {
	r := c.Request()
	ctx, cancel := limit(r.Context(), m)
	defer cancel()
	arrived := s.Path.Timer.Now()
	var reading atomic.Bool
	reading.Store(r.ContentLength != 0)
	defer s.Path.Timer.After(d, func(time.Time) {
		cancel()
		if reading.Load() {
			_ = http.NewResponseController(c.Response().Writer).SetReadDeadline(past)
		}
	})()
	now := arrived
	if reading.Load() {
		fault := readBody(c, m)
		reading.Store(false)
		now = s.Path.Timer.Now()
		if fault == nil && now.Sub(arrived) >= d {
			fault = late()
		}
		if fault != nil {
			return s.Path.Reject(m, *fault)
		}
	}
	m.Timeout = d - now.Sub(arrived)
	return s.Path.do(ctx, r.Context(), m, now)
}

func readBody(c echo.Context, m *cuminstair.Message) *Refusal {
	r := c.Request()
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
