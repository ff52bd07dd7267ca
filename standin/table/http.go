package table

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
)

const (
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 16 << 20
	// pageRows is the page size. A page may be longer, since it ends with the last row of a commit.
	pageRows = 2000
	// bulkID takes the place of the task id in the path of an action on several tasks. The body lists their ids.
	bulkID = "-"
)

// Handler serves the protocol of docs/platform.md, and faults, hosts and statistics below /admin.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = writeError
	e.POST("/table/commit", s.handleCommit)
	e.GET("/table/rows", s.handleRows)
	e.PUT("/objects/:hash", s.handlePut)
	e.GET("/objects/:hash", s.handleGet)
	e.GET("/hosts", s.handleHosts)
	e.POST("/hosts/:id/:action", s.handleAct)
	e.GET("/workers", s.handleWorkers)
	e.POST("/tasks", s.handleStart)
	e.POST("/tasks/:id/:action", s.handleTasks)
	e.GET("/usage", s.handleUsage)
	s.addAdminRoutes(e.Group("/admin"))
	return e
}

// writeError writes the HTTP status for an error. For ErrUncertain, it aborts the connection without an answer.
func writeError(err error, c echo.Context) {
	var he *echo.HTTPError
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, cuminstair.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, cuminstair.ErrUnavailable):
		status = http.StatusServiceUnavailable
		c.Response().Header().Set("Outcome", cuminstair.OutcomeNotRun.String())
	case errors.Is(err, cuminstair.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, cuminstair.ErrNotFound):
		status = http.StatusNotFound
	case errors.As(err, &he):
		status = he.Code
	}
	_ = c.JSON(status, map[string]string{"error": err.Error()})
}

// decodeBody decodes a JSON body. It ignores Content-Type.
func decodeBody(c echo.Context, v any) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
	if err := c.Echo().JSONSerializer.Deserialize(c, v); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

func (s *Service) handleCommit(c echo.Context) error {
	var commit cuminstair.Commit
	if err := decodeBody(c, &commit); err != nil {
		return err
	}
	if commit.ID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "set the id of the commit")
	}
	version, err := s.Commit(c.Request().Context(), commit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]uint64{"version": version})
}

func uintParam(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+" must be a whole number")
	}
	return n, nil
}

// rowsAnswer is the answer of GET /table/rows.
type rowsAnswer struct {
	Rows    []cuminstair.Row `json:"rows"`
	Version uint64           `json:"version"`
	More    bool             `json:"more"`
}

func (s *Service) handleRows(c echo.Context) error {
	since, err := uintParam(c, "since")
	if err != nil {
		return err
	}
	rows, version, err := s.Rows(c.Request().Context(), c.QueryParam("prefix"), since)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, page(rows, version))
}

// page returns the first page of rows, which must be in order of versions. It doesn't split a commit.
func page(rows []cuminstair.Row, version uint64) rowsAnswer {
	end := min(len(rows), pageRows)
	for end > 0 && end < len(rows) && rows[end].Version == rows[end-1].Version {
		end++
	}
	if end == len(rows) {
		return rowsAnswer{Rows: rows, Version: version}
	}
	return rowsAnswer{Rows: rows[:end], Version: rows[end-1].Version, More: true}
}

func (s *Service) handlePut(c echo.Context) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if err := s.putObject(c.Request().Context(), c.Param("hash"), data); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) handleGet(c echo.Context) error {
	data, err := s.GetObject(c.Request().Context(), c.Param("hash"))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Service) handleHosts(c echo.Context) error {
	since := uint64(0)
	if text := c.QueryParam("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "since: want a version of the list")
		}
	}
	answer, err := s.changedHosts(c.Request().Context(), c.QueryParam("run"), since)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Service) handleAct(c echo.Context) error {
	var in struct {
		ID string `json:"id"`
	}
	if err := decodeBody(c, &in); err != nil {
		return err
	}
	action := cuminstair.HostAction(c.Param("action"))
	switch action {
	case cuminstair.ActionReboot, cuminstair.ActionReplace, ActionDrain, ActionResume:
	default:
		return echo.NewHTTPError(http.StatusBadRequest, "the action must be drain, reboot, replace or resume")
	}
	if in.ID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "set the id of the action")
	}
	if err := s.Act(c.Request().Context(), in.ID, c.Param("id"), action); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) handleWorkers(c echo.Context) error {
	list, err := s.Workers(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{"workers": list})
}

func (s *Service) handleStart(c echo.Context) error {
	var t cuminstair.Task
	if err := decodeBody(c, &t); err != nil {
		return err
	}
	if t.ID == "" || t.Lease <= 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "set the id and the lease of the task")
	}
	if err := s.StartTask(c.Request().Context(), t); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) handleTasks(c echo.Context) error {
	var in struct {
		IDs []string `json:"ids"`
	}
	if err := decodeBody(c, &in); err != nil {
		return err
	}
	ids := in.IDs
	if id := c.Param("id"); id != bulkID {
		ids = []string{id}
	}
	action := cuminstair.TaskAction(c.Param("action"))
	switch action {
	case cuminstair.TaskCheckpoint, cuminstair.TaskThrottle, cuminstair.TaskResume, cuminstair.TaskStop, cuminstair.TaskRenew:
	default:
		return echo.NewHTTPError(http.StatusBadRequest, "the action must be checkpoint, throttle, resume, stop or renew")
	}
	if err := s.ActTasks(c.Request().Context(), action, ids); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) handleUsage(c echo.Context) error {
	since, err := uintParam(c, "since")
	if err != nil {
		return err
	}
	list, next, err := s.Usage(c.Request().Context(), since)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{"reports": list, "next": next})
}
