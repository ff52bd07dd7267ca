package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/timer"
)

const fleetHead = `{"name": "test", "centres": [{"name": "c1", "region": "r1"}], "pools": [{"name": "p1"}],
	"services": [{"name": "scale", "pool": "p1", "slots": 8, "conns": 64, "budget": {"down": 0.1}, "kinds": [
		{"name": "portion", "weight": 1, "deadline": "1h"},
		{"name": "convert", "weight": 1, "deadline": "1h", "idempotent": true}]}],
	"teams": [{"name": "t1", "quota": {"rate": 1000000, "burst": 100000}}],
	"hosts": [`

const hostFormat = `{"name": "h%d", "centre": "c1", "rack": "k1", "pool": "p1", "addr": "%s", "cores": 32, "memory": "128GB"},`

// serve starts an instance and returns its address.
func serve(tb testing.TB, s *instance.Server) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(tb).NoErr(err)
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// realClock returns a clock that runs until the test ends.
func realClock(tb testing.TB) *timer.Service {
	tb.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go func() { _ = clock.Run(ctx) }()
	return clock
}

// loadSettings writes a fleet file for the addresses and returns settings that use it.
func loadSettings(tb testing.TB, addrs []string, extra string) *settings.Settings {
	tb.Helper()
	is := is.New(tb)
	dir := tb.TempDir()
	text := fleetHead
	for i, addr := range addrs {
		text += fmt.Sprintf(hostFormat, i+1, addr)
	}
	is.NoErr(os.WriteFile(filepath.Join(dir, "fleet.json"), []byte(text+"]}"), 0o600))
	file := filepath.Join(dir, "settings.json")
	text = `{"name": "e1", "centre": "c1", "fleet": "fleet.json", "listen": {"callers": "127.0.0.1:0"},` + extra + `}`
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	s, err := settings.Load(file, nil)
	is.NoErr(err)
	return s
}

// running is a daemon under test.
type running struct {
	*daemon.Daemon
	url   string
	stop  context.CancelFunc // begins a planned stop
	ended chan error         // the result of Run
}

func start(tb testing.TB, s *settings.Settings, clock cuminstair.Timer, change func(d *daemon.Daemon)) *running {
	tb.Helper()
	d := &daemon.Daemon{Settings: s, Log: hclog.NewNullLogger(), Timer: clock}
	if change != nil {
		change(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Daemon: d, stop: cancel, ended: make(chan error, 1)}
	go func() { r.ended <- d.Run(ctx) }()
	for d.Addr("callers") == nil {
		runtime.Gosched()
	}
	r.url = "http://" + d.Addr("callers").String()
	tb.Cleanup(cancel)
	return r
}

// reply is a complete answer.
type reply struct {
	status int
	header http.Header
	body   string
}

// deadline is the Deadline header of requests that must not time out in a test.
const deadline = "30m"

// post sends a request. A truncated answer is an error.
func post(ctx context.Context, client *http.Client, url, kind, fault, body string) (*reply, error) {
	return postWithin(ctx, deadline, client, url, kind, fault, body)
}

// postWithin sends a request with a deadline of its own.
func postWithin(ctx context.Context, limit string, client *http.Client, url, kind, fault, body string) (*reply, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/s/scale/work", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Team", "t1")
	r.Header.Set("Kind", kind)
	r.Header.Set("Deadline", limit)
	r.Header.Set("Request", "direct") // for requests that go to an instance directly
	r.Header.Set(instance.FaultHeader, fault)
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// newClient returns a client that opens at most conns connections and keeps them.
func newClient(tb testing.TB, conns int) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns}
	tb.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
