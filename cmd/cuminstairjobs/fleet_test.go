package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cuminstair.org/cuminstair/standin/site"
)

// Timeouts of the tests.
const (
	shortTimeout  = 15 * time.Second // for events that take one or two seconds on an idle machine
	settleTimeout = 40 * time.Second // for all accepted work to end after the last fault
	graceSeconds  = 4.0              // seconds between SIGTERM and the kill
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cuminstairjobs")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "cuminstairjobs")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Println(string(out))
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// logBuffer collects the output of a daemon. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the output so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// daemon is a process under test.
type daemon struct {
	name          string
	callersAddr   string
	readinessAddr string
	internalAddr  string
	settingsFile  string
	args          []string
	storeProxy    *proxy
	log           *logBuffer
	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{}
}

// fleet is a simulated site whose daemons are separate processes.
type fleet struct {
	t       *testing.T
	site    *site.Site
	daemons []*daemon
	client  *http.Client
	answer  func(d *daemon, method, path, body string) (int, string) // of call; nil: calls have no key
}

func newFleet(t *testing.T, daemons int, services map[string]int) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := site.New(ctx, services)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, site: s, client: &http.Client{Timeout: 4 * time.Second}}
	for i := range daemons {
		f.daemons = append(f.daemons, f.newDaemon(i))
	}
	t.Cleanup(f.stopAll)
	return f
}

// Port range of the daemons. It lies below the ephemeral ports of the system, because an outgoing connection could
// otherwise take the port of a stopped daemon.
const (
	firstPort = 10000
	lastPort  = 30000
)

var nextPort atomic.Int64

// freePort returns a port that has no listener and that no other daemon of this run has been given.
func freePort(t *testing.T) int {
	t.Helper()
	nextPort.CompareAndSwap(0, firstPort+int64(os.Getpid()*37%(lastPort-firstPort)))
	for range lastPort - firstPort {
		port := int(nextPort.Add(1)-firstPort)%(lastPort-firstPort) + firstPort
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		_ = l.Close()
		return port
	}
	t.Fatal("no free port")
	return 0
}

func (f *fleet) newDaemon(i int) *daemon {
	f.t.Helper()
	p, err := newProxy(f.site.StoreAddr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.close)
	local := func() string { return "127.0.0.1:" + strconv.Itoa(freePort(f.t)) }
	internal := freePort(f.t)
	d := &daemon{
		name: fmt.Sprintf("d%d", i), callersAddr: local(), readinessAddr: local(), storeProxy: p, log: &logBuffer{},
		internalAddr: "127.0.0.1:" + strconv.Itoa(internal),
		settingsFile: filepath.Join(f.t.TempDir(), fmt.Sprintf("d%d.json", i)),
	}
	data, err := json.Marshal(map[string]any{
		"node_name": d.name, "ip": "127.0.0.1", "zone": fmt.Sprintf("z%d", i%2),
		"listen":              map[string]string{"frontend": d.callersAddr, "readiness": d.readinessAddr},
		"internal_port_range": []int{internal, internal}, "heartbeat_ms": 500, "orders": "call",
		"limits":    map[string]any{"cpu_share": 1.0, "cores": 1, "memory_mb": 300},
		"platform":  map[string]any{"address": p.addr, "form": "table"},
		"cloud_api": map[string]any{"address": f.site.HostsAddr},
		"bounds": map[string]any{
			"max_hold_ms": 10000, "stop_grace_ms": 200, "grace_s": graceSeconds, "lease_ms": 1000, "require_fencing": true,
			"status_s": 120, "drain_ms": 2000, "notice_ms": 2000,
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(d.settingsFile, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return d
}

func (f *fleet) start(d *daemon) {
	f.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(program, d.args...)
	cmd.Env = append(os.Environ(), "CUMINSTAIR_CONFIG="+d.settingsFile)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	d.cmd, d.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(d.ended)
}

func (f *fleet) startAll() {
	for _, d := range f.daemons {
		f.start(d)
	}
	f.until(shortTimeout, "all daemons are ready", func() bool {
		for _, d := range f.daemons {
			if !f.isReady(d) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) stopAll() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.wait(shortTimeout)
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", d.name, tail(d.log.String()))
		}
	}
}

// tail returns the last 60 lines of a log.
func tail(log string) string {
	lines := strings.Split(log, "\n")
	return strings.Join(lines[max(0, len(lines)-60):], "\n")
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		// The process may have ended.
		_ = d.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended, but no longer than timeout, and reports whether it has ended.
func (d *daemon) wait(timeout time.Duration) bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	default:
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

func (f *fleet) isReady(d *daemon) bool {
	resp, err := f.client.Get("http://" + d.readinessAddr + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for a condition, and ends the test if it does not hold within the timeout.
func (f *fleet) until(timeout time.Duration, desc string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	f.t.Errorf("condition not met within %v: %s", timeout, desc)
	f.t.FailNow()
}

// call sends one request to a daemon and returns the status, or 0 if there was no response, and the body.
func (f *fleet) call(d *daemon, method, path, body string) (int, string) {
	if f.answer != nil {
		return f.answer(d, method, path, body)
	}
	return f.callWith(d, method, path, body, func(http.Header) {})
}

// callWith is call with headers that edit adds.
func (f *fleet) callWith(d *daemon, method, path, body string, edit func(http.Header)) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.callersAddr+path, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0, ""
	}
	req.Host = "q.example"
	req.Header.Set("X-Deadline-Ms", "3000")
	edit(req.Header)
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// body returns a job of one step with count tasks of 4 cores each.
func body(id string, count int, longRunning bool) string {
	step := map[string]any{"count": count, "cpu": 4000, "mem_mb": 500, "estimated_ms": 100, "long_running": longRunning}
	if longRunning {
		step["may_miss"] = 1
	}
	data, err := json.Marshal(map[string]any{"specification": "p-" + id, "steps": []any{step}})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func (f *fleet) state(d *daemon, service, id string) string {
	status, data := f.call(d, http.MethodGet, "/"+service+"/"+id, "")
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	var s struct{ State string }
	if err := json.Unmarshal([]byte(data), &s); err != nil {
		return data
	}
	return s.State
}

// submit repeats the submission of a job with count tasks until the daemon accepts it. A length of 0 makes the job
// long-running.
func (f *fleet) submit(d *daemon, service, id string, count int, length time.Duration) {
	f.t.Helper()
	f.site.DeclareJob(id, site.Task{CPU: 4000, Length: length})
	f.until(shortTimeout, "job "+id+" is accepted", func() bool {
		status, _ := f.call(d, http.MethodPost, "/"+service+"/"+id, body(id, count, length == 0))
		return status == http.StatusOK
	})
}

// checkNoFaults fails the test if the site has recorded violations of guarantees.
func (f *fleet) checkNoFaults() {
	f.t.Helper()
	for _, violation := range f.site.Violations() {
		f.t.Error(violation)
	}
}
