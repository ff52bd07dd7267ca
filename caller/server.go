// Package caller is the callers' side of an entry daemon: the HTTP listener and the path of a request from its checks
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

// MaxBody is the longest body of a request, in bytes; a request is buffered whole before it is sent.
const MaxBody = 1 << 20

// Times of the callers' connections.
const (
	headerLimit = 10 * time.Second // for the head of a request
	idleLimit   = 2 * time.Minute  // for an unused connection
)

// Server is the callers' HTTP listener. Exported fields are set before Serve.
type Server struct {
	Path *Path
	Log  hclog.Logger
	Name string // the daemon's name, the first part of request ids
	// Ready returns nil if the load balancer may send callers here, and otherwise why not.
	Ready func() error

	once   sync.Once
	prefix string // of request ids: unique to this start of the daemon
	count  atomic.Uint64
	server http.Server
	conns  conns
	// draining makes answers end their connections. http.Server.SetKeepAlivesEnabled would at once close the unused
	// connections, on which callers may just be sending.
	draining atomic.Bool
}

func (s *Server) init() {
	s.once.Do(func() {
		s.prefix = s.Name + "-" + strconv.FormatInt(s.Path.Timer.Now().UnixNano(), 36) + "-"
		s.server.Handler = s.routes()
		s.server.ConnState = s.conns.note
		s.server.ReadHeaderTimeout = headerLimit
		s.server.IdleTimeout = idleLimit
		s.server.ErrorLog = s.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	})
}

func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HTTPErrorHandler = s.fail
	e.Pre(s.endConnection)
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
	err := s.server.Serve(s.conns.listen(l))
	stopped := errors.Is(err, net.ErrClosed) && s.draining.Load()
	if !stopped && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Drain asks callers to close their connections after the next answer, while new requests are still served.
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

// endConnection makes each answer of a draining server the last one of its connection.
func (s *Server) endConnection(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// serve takes a request for a service.
func (s *Server) serve(c echo.Context) error {
	deadline := c.Request().Header.Get("Deadline")
	m := s.message(c.Request())
	out := &writer{w: c.Response()}
	m.Sink = out.begin
	if fault := s.read(c, m, deadline); fault != nil {
		out.write(s.Path.Reject(m, *fault))
		return nil
	}
	out.finish(s.Path.Do(c.Request().Context(), m))
	return nil
}

// fail answers what no route takes.
func (s *Server) fail(err error, c echo.Context) {
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
