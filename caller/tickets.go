package caller

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
)

// maxTickets is how many tickets a caller gets in one request. A ticket takes about 100 bytes, so that the answer stays
// below 128 KiB.
const maxTickets = 1000

// issue handles POST /tickets?count=n.
func (s *Server) issue(c echo.Context) error {
	if s.Path.Tickets == nil {
		return s.noTickets(c)
	}
	count := 1
	if text := c.QueryParam("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTickets {
			return s.reject(c, *malformed("count: %q is not a number from 1 to %d", text, maxTickets))
		}
		count = n
	}
	tickets, err := s.Path.Tickets.Issue(count)
	if err != nil {
		s.Log.Warn("cannot issue tickets", "error", err)
		return s.reject(c, Refusal{Reason: cuminstair.ReasonStopping, Text: "this daemon issues no tickets now"})
	}
	s.setHeaders(c, cuminstair.OutcomeDone)
	return c.JSON(http.StatusOK, struct {
		Tickets []string `json:"tickets"`
	}{tickets})
}

// lookup handles GET /tickets/<ticket>. It answers with the stored outcome.
func (s *Server) lookup(c echo.Context) error {
	if s.Path.Tickets == nil {
		return s.noTickets(c)
	}
	out := &writer{w: c.Response()}
	out.write(s.Path.Tickets.Lookup(c.Request().Context(), c.Param("ticket")))
	return nil
}

func (s *Server) noTickets(c echo.Context) error {
	r := *malformed("this daemon issues no tickets")
	r.Status = http.StatusNotFound
	return s.reject(c, r)
}

func (s *Server) reject(c echo.Context, r Refusal) error {
	out := &writer{w: c.Response()}
	out.write(s.Path.Reject(&cuminstair.Message{ID: s.newID()}, r))
	return nil
}

func (s *Server) setHeaders(c echo.Context, o cuminstair.Outcome) {
	h := c.Response().Header()
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
	h.Set("Outcome", o.String())
	h.Set("Reason", string(cuminstair.ReasonOK))
	h.Set("Request", s.newID())
}
