// Package operator implements the HTTP API that entry daemons provide to operators, and its client. Bodies are JSON.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
)

// maxBody bounds a request body in bytes. A fleet file with 28,000 hosts has about 6 MB.
const maxBody = 64 << 20

// Server serves the API. Its fields are set before Handler is called.
type Server struct {
	Operations cuminstair.Operations
	Log        hclog.Logger
}

// Failure is the body of every error response.
type Failure struct {
	Error   string             `json:"error"`
	Code    string             `json:"code"` // one of the Code constants
	Faults  []cuminstair.Fault `json:"faults,omitempty"`
	Base    uint64             `json:"base,omitempty"`
	Current uint64             `json:"current,omitempty"`
	Changes []string           `json:"changes,omitempty"`
}

// Codes of a Failure.
const (
	CodeFaults      = "faults"      // the file has faults
	CodeConflict    = "conflict"    // another change was accepted first
	CodeMissing     = "missing"     // there is no such host, wave, job or request
	CodeUnavailable = "unavailable" // the platform can't be reached; nothing was changed
	CodeUncertain   = "uncertain"   // the change may have been accepted; repeat the request
	CodeMalformed   = "malformed"   // the request itself is invalid
	CodeInternal    = "internal"
)

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.writeError
	e.Use(limitBody)
	ops := s.Operations
	e.POST("/fleet", postJSON(ops.Apply))
	e.GET("/fleet", getOne(ops.Current))
	e.POST("/fleet/check", postJSON(s.check))
	e.POST("/fleet/diff", postJSON(s.difference))
	e.GET("/force/:generation", s.force)
	e.GET("/daemons", getList(ops.Daemons))
	e.GET("/pools", getList(ops.Pools))
	e.GET("/hosts", getList(ops.Hosts))
	e.GET("/waves", getList(ops.Waves))
	e.GET("/budgets", getList(ops.Budgets))
	e.GET("/jobs", getList(ops.Jobs))
	e.POST("/hosts/:id/:action", postAction(ops.ChangeHost, "drain", "hold", "resume"))
	e.POST("/waves/:id/:action", postAction(ops.ChangeWave, "start", "hold", "resume"))
	e.POST("/jobs", postJSON(ops.Submit))
	e.POST("/jobs/cancel", postJSON(ops.Cancel))
	e.GET("/explain/:kind/:id", s.explain)
	return e
}

func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, maxBody)
		return next(c)
	}
}

// getOne responds with the value that fn returns.
func getOne[T any](fn func(context.Context) (T, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		v, err := fn(c.Request().Context())
		if err != nil {
			return fmt.Errorf("get %s: %w", c.Path(), err)
		}
		return c.JSON(http.StatusOK, v)
	}
}

// getList responds with the rows that fn returns; an empty list is written as [] and not as null.
func getList[T any](fn func(context.Context) ([]T, error)) echo.HandlerFunc {
	return getOne(func(ctx context.Context) ([]T, error) {
		rows, err := fn(ctx)
		if rows == nil {
			rows = []T{}
		}
		return rows, err
	})
}

// postJSON decodes the JSON of the request into an In, regardless of its Content-Type, and responds with the value that
// fn returns.
func postJSON[In, Out any](fn func(context.Context, In) (Out, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var in In
		if err := c.Echo().JSONSerializer.Deserialize(c, &in); err != nil {
			return malformed(err)
		}
		out, err := fn(c.Request().Context(), in)
		if err != nil {
			return fmt.Errorf("post %s: %w", c.Path(), err)
		}
		return c.JSON(http.StatusOK, out)
	}
}

// malformed returns the error for a body that is too large, not JSON or of the wrong form.
func malformed(err error) error {
	if tooBig, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return fmt.Errorf("read the body: %w", tooBig)
	}
	if he, ok := errors.AsType[*echo.HTTPError](err); ok {
		return he
	}
	return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("the body is not JSON: %v", err))
}

// postAction applies one of the allowed actions to the host or wave that the path names.
func postAction(fn func(ctx context.Context, id, action string) error, allowed ...string) echo.HandlerFunc {
	return func(c echo.Context) error {
		action := c.Param("action")
		for _, a := range allowed {
			if a != action {
				continue
			}
			if err := fn(c.Request().Context(), c.Param("id"), action); err != nil {
				return fmt.Errorf("%s %s: %w", action, c.Param("id"), err)
			}
			return c.NoContent(http.StatusNoContent)
		}
		return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("unknown action %q; use one of %v", action, allowed))
	}
}

// Lines is the response of /fleet/diff, one change per line, and of /fleet/check, where it is empty.
type Lines struct {
	Lines []string `json:"lines"`
}

func (s *Server) check(ctx context.Context, a cuminstair.ApplyRequest) (Lines, error) {
	return Lines{}, s.Operations.Check(ctx, a.File, a.Text)
}

func (s *Server) difference(ctx context.Context, a cuminstair.ApplyRequest) (Lines, error) {
	lines, err := s.Operations.Difference(ctx, a.File, a.Text)
	return Lines{Lines: lines}, err
}

func (s *Server) force(c echo.Context) error {
	generation, err := strconv.ParseUint(c.Param("generation"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("generation %q is not a number", c.Param("generation")))
	}
	return getOne(func(ctx context.Context) (cuminstair.ForceStatus, error) {
		return s.Operations.Force(ctx, generation)
	})(c)
}

func (s *Server) explain(c echo.Context) error {
	return getOne(func(ctx context.Context) (cuminstair.Explanation, error) {
		return s.Operations.Explain(ctx, c.Param("kind"), c.Param("id"))
	})(c)
}

// writeError writes an error as a Failure, unless the response has already been started.
func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, failure := statusAndFailure(err)
	if status >= http.StatusInternalServerError {
		s.Log.Warn("request failed", "method", c.Request().Method, "path", c.Request().URL.Path, "error", err)
	}
	if err := c.JSON(status, failure); err != nil {
		s.Log.Debug("writing response failed", "error", err)
	}
}

func statusAndFailure(err error) (int, Failure) {
	f := Failure{Error: err.Error(), Code: CodeInternal}
	if faults, ok := errors.AsType[*cuminstair.FaultsError](err); ok {
		f.Code, f.Faults = CodeFaults, faults.Faults
		return http.StatusUnprocessableEntity, f
	}
	if stale, ok := errors.AsType[*cuminstair.StaleError](err); ok {
		f.Code, f.Base, f.Current, f.Changes = CodeConflict, stale.Base, stale.Current, stale.Changes
		return http.StatusConflict, f
	}
	if tooBig, ok := errors.AsType[*http.MaxBytesError](err); ok {
		f.Code, f.Error = CodeMalformed, fmt.Sprintf("the body has more than %d bytes", tooBig.Limit)
		return http.StatusRequestEntityTooLarge, f
	}
	if he, ok := errors.AsType[*echo.HTTPError](err); ok {
		f.Code, f.Error = CodeMalformed, fmt.Sprint(he.Message)
		if he.Code == http.StatusNotFound {
			f.Code = CodeMissing
		}
		return he.Code, f
	}
	switch {
	case errors.Is(err, cuminstair.ErrConflict):
		f.Code = CodeConflict
		return http.StatusConflict, f
	case errors.Is(err, cuminstair.ErrNotFound):
		f.Code = CodeMissing
		return http.StatusNotFound, f
	case errors.Is(err, cuminstair.ErrUncertain):
		f.Code = CodeUncertain
		return http.StatusServiceUnavailable, f
	case errors.Is(err, cuminstair.ErrUnavailable):
		f.Code = CodeUnavailable
		return http.StatusServiceUnavailable, f
	default:
		return http.StatusInternalServerError, f
	}
}
