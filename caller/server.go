// Package caller serves the callers of an entry daemon: it has the HTTP server and processes a request from its checks
// to its outcome.
package caller

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
)

// MaxBody is the longest body of a request, in bytes. The whole request is buffered before it is sent.
const MaxBody = 1 << 20

// Timeouts of callers' connections.
const (
	headerTimeout = 10 * time.Second // for the head of a request
	idleTimeout   = 2 * time.Minute  // for an unused connection
)

// Server is the HTTP server for callers. Exported fields are set before Serve.
type Server struct {
	Path *Path
	Log  hclog.Logger
	Name string // the daemon's name, the first part of request ids
	// Ready returns nil if the load balancer may send callers to this daemon, and otherwise the reason why not.
	Ready func() error

	once   sync.Once
	prefix string // of request ids: unique to this start of the daemon
	count  atomic.Uint64
	server http.Server
	conns  conns
	// draining adds Connection: close to the answers. http.Server.SetKeepAlivesEnabled is not used, since it would
	// close idle connections at once, and callers may just be sending requests on them.
	draining atomic.Bool
}

func (s *Server) init() {
	s.once.Do(func() {
		s.prefix = s.Name + "-" + strconv.FormatInt(s.Path.Timer.Now().UnixNano(), 36) + "-"
		s.server.Handler = s.routes()
		s.server.ConnState = s.conns.trackState
		s.server.ReadHeaderTimeout = headerTimeout
		s.server.IdleTimeout = idleTimeout
		s.server.ErrorLog = s.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	})
}

func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HTTPErrorHandler = s.handleError
	e.Pre(s.closeIfDraining)
	methods := []string{http.MethodPost, http.MethodGet, http.MethodPut, http.MethodDelete}
	e.Match(methods, "/s/:service/*", s.serve)
	e.POST("/tickets", s.issue)
	e.GET("/tickets/:ticket", s.lookup)
	e.GET("/ready", s.ready)
	e.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	return e
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.server.Handler.ServeHTTP(w, r)
}

// Serve answers callers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.init()
	err := s.server.Serve(s.conns.addListener(l))
	stopped := errors.Is(err, net.ErrClosed) && s.draining.Load()
	if !stopped && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Drain makes the server close each connection after its next answer. New requests are still served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Close closes all connections at once.
func (s *Server) Close() error {
	s.init()
	return s.server.Close()
}

func (s *Server) newID() string {
	return s.prefix + strconv.FormatUint(s.count.Add(1), 36)
}

// closeIfDraining makes a draining server close each connection after its next answer.
func (s *Server) closeIfDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// serve handles a request for a service.
func (s *Server) serve(c echo.Context) error {
	deadline := c.Request().Header.Get("Deadline")
	m := s.message(c.Request())
	out := &writer{w: c.Response()}
	m.Sink = out.begin
	if refusal := s.readRequest(c, m, deadline); refusal != nil {
		out.write(s.Path.Reject(m, *refusal))
		return nil
	}
	out.finish(s.Path.Do(c.Request().Context(), m))
	return nil
}

// handleError answers requests that match no route, and errors of handlers.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	r := *malformed("use POST, GET, PUT or DELETE on /s/<service>/<path>")
	r.Status = http.StatusInternalServerError
	var he *echo.HTTPError
	if errors.As(err, &he) {
		r.Status = he.Code
	}
	out := &writer{w: c.Response()}
	out.write(s.Path.Reject(&cuminstair.Message{ID: s.newID()}, r))
}

func (s *Server) ready(c echo.Context) error {
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, "not ready: "+err.Error()+"\n")
		}
	}
	return c.String(http.StatusOK, "ready\n")
}
