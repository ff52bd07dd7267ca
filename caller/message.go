package caller

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
)

// past is a deadline that makes a blocked read return at once.
var past = time.Unix(1, 0)

// own lists the request headers that are not passed on: those of one connection (RFC 9110, section 7.6.1) and those that
// belong to the daemon.
var own = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Team": true, "Kind": true, "Deadline": true, "Ticket": true, "Request": true,
}

// message returns the request without its body.
func (s *Server) message(r *http.Request) *cuminstair.Message {
	service, path := split(r.URL.EscapedPath())
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	m := &cuminstair.Message{
		ID:      s.newID(),
		Method:  r.Method,
		Path:    path,
		Service: service,
		Kind:    r.Header.Get("Kind"),
		Team:    r.Header.Get("Team"),
		Ticket:  r.Header.Get("Ticket"),
	}
	m.Header = passed(r.Header)
	return m
}

// passed takes the headers that are not passed on out of h. The server doesn't read them again.
func passed(h http.Header) map[string][]string {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range h {
		if own[name] {
			delete(h, name)
		}
	}
	return h
}

// split returns the service and the path of /s/<service>/<path>. The path begins with a slash.
func split(escaped string) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(escaped, "/s/"), "/")
	return service, "/" + path
}

// read reads the body, which has to arrive before the deadline that text tells.
func (s *Server) read(c echo.Context, m *cuminstair.Message, text string) *Refusal {
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
	if fault := s.readBody(c, m, limit); fault != nil {
		return fault
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
