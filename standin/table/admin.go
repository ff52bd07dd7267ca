package table

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// addAdminRoutes adds the paths that set faults, show statistics, declare hosts and workers, and fail racks. They are not
// part of the platform's protocol, and no fault applies to them.
func (s *Service) addAdminRoutes(g *echo.Group) {
	g.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	g.PUT("/faults", s.handleFaults)
	g.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	g.POST("/hosts", s.handleAddHosts)
	g.POST("/workers", s.handleAddWorkers)
	g.POST("/racks/:centre/:rack/fail", func(c echo.Context) error {
		return rackAnswer(c, s.FailRack(c.Param("centre"), c.Param("rack")))
	})
	g.POST("/racks/:centre/:rack/restore", func(c echo.Context) error {
		return rackAnswer(c, s.RestoreRack(c.Param("centre"), c.Param("rack")))
	})
}

func rackAnswer(c echo.Context, hosts int) error {
	if hosts == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "the rack has no hosts")
	}
	return c.JSON(http.StatusOK, map[string]int{"hosts": hosts})
}

func (s *Service) handleFaults(c echo.Context) error {
	var f Faults
	if err := decodeBody(c, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) handleAddHosts(c echo.Context) error {
	var in struct {
		Hosts []Host `json:"hosts"`
	}
	if err := decodeBody(c, &in); err != nil {
		return err
	}
	s.AddHosts(in.Hosts...)
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) handleAddWorkers(c echo.Context) error {
	var in struct {
		Workers []Worker `json:"workers"`
	}
	if err := decodeBody(c, &in); err != nil {
		return err
	}
	s.AddWorkers(in.Workers...)
	return c.NoContent(http.StatusNoContent)
}
