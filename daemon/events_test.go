package daemon_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/timer"
)

// Guards against new requests to a host whose row is in state leaving, and against confirming a host that may still get
// new requests.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	clock := realClock(t)
	one, two := &instance.Server{Timer: clock}, &instance.Server{Timer: clock}
	s := loadSettings(t, []string{serve(t, one), serve(t, two)}, `"wait": "0s"`)
	s.Listen.Metrics = "127.0.0.1:0"
	d := start(t, s, clock, nil)
	is.True(!d.Decisions().Confirm("h1"))
	d.Events.Set(daemon.Key{Kind: daemon.EventHost, Name: "h1"}, daemon.Event{State: cuminstair.HostLeaving})
	for !d.Decisions().Confirm("h1") {
		runtime.Gosched()
	}
	client := newClient(t, 1)
	for range 4 {
		_, err := post(context.Background(), client, d.url, "portion", "", "body")
		is.NoErr(err)
	}
	is.Equal(one.Total(), 0)
	is.Equal(two.Total(), 4)
	resp, err := http.Get("http://" + d.Addr("metrics").String() + "/metrics")
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(strings.Contains(string(text), `cuminstair_requests_total{kind="portion",outcome="done",reason="ok",service="scale"} 4`))
	is.Equal(len(d.Explain().Lookup("request", "none")), 0)
}

// probeRecorder is a Health that counts failed active checks of h2.
type probeRecorder struct {
	cuminstair.Health
	failed atomic.Int64
}

func (s *probeRecorder) State(string) cuminstair.HostState            { return cuminstair.HostActive }
func (s *probeRecorder) ProbeAfter(string) time.Duration              { return 0 }
func (s *probeRecorder) Changed() []string                            { return nil }
func (s *probeRecorder) Observe(time.Time, string, cuminstair.Result) {}
func (s *probeRecorder) Probe(_ time.Time, host string, ok, _ bool) {
	if host == "h2" && !ok {
		s.failed.Add(1)
	}
}

// Guards against upstreams that are not checked, and against checks of hosts that another daemon checks.
func TestActiveChecks(t *testing.T) {
	is := is.New(t)
	clock := timer.NewVirtual(time.Unix(1000, 0))
	health := &probeRecorder{}
	var checksHostCalls atomic.Int64
	d := start(t, loadSettings(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, ""), clock, func(d *daemon.Daemon) {
		d.Health = health
		d.ChecksHost = func(host string) bool { checksHostCalls.Add(1); return host == "h2" }
	})
	for health.failed.Load() == 0 {
		clock.Advance(time.Second)
		runtime.Gosched()
	}
	is.True(checksHostCalls.Load() >= 2)
	is.NoErr(d.Ready())
}
