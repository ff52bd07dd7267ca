package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/intake"
	"cuminstair.org/cuminstair/timer"
)

// untouched is a body that must not be read.
type untouched struct{ t *testing.T }

func (u untouched) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, io.EOF
}

func intakeDaemon() *Daemon {
	d := &Daemon{Log: hclog.NewNullLogger(), Timer: timer.NewVirtual(time.Unix(1000, 0)), Metrics: NewMetrics(prometheus.NewRegistry())}
	d.config.Store(&cuminstair.JobConfig{Version: 1, MaxBody: 100, Queues: []cuminstair.WorkQueue{{Name: "q", Host: "h", Prefix: "/q/"}}})
	return d
}

// Guards against memory for bodies of requests that are refused whatever their body is.
func TestBodyIsNotReadInVain(t *testing.T) {
	is := is.New(t)
	for path, status := range map[string]int{
		"/other/0000000000000001": http.StatusNotFound, "/q/1": http.StatusNotFound,
		"/q/0000000000000001": http.StatusRequestEntityTooLarge,
	} {
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h"+path, untouched{t})
		req.ContentLength = 101
		w := httptest.NewRecorder()
		intakeDaemon().callerServer().Handler.ServeHTTP(w, req)
		is.Equal(w.Code, status)
	}
}

// Guards against a client that can't tell that its request never runs, or when to retry.
func TestRefusalForLackOfMemory(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/q/0000000000000001", nil), w)
	is.NoErr(intakeDaemon().refuseBody(c, call{}, intake.ErrNoMemory))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Connection"), "close")
	is.True(w.Header().Get("Retry-After") != "")
}
