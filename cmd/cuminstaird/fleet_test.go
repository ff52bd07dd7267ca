package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// applyTimeout bounds the wait until a configuration is in force in every daemon.
const applyTimeout = 20 * time.Second

// cluster is a whole system in separate processes.
type cluster struct {
	dir      string
	bin      map[string]string // paths of the programs by name
	platform *process
	daemons  []*process // the addr of each is that of its callers' listener
	ops      []string   // URLs of the operators' listeners
}

var daemonSpecs = []struct{ name, centre string }{{"e1", "c1"}, {"e2", "c1"}, {"e3", "c2"}}

// startCluster starts a platform, 6 upstreams and 3 daemons in 2 data centres. It returns the cluster and the path of
// the fleet file.
func startCluster(t *testing.T) (*cluster, string) {
	t.Helper()
	is := is.New(t)
	c := &cluster{dir: t.TempDir(), bin: map[string]string{}}
	for _, name := range []string{"cuminstair", "cuminstaird", "fakeplatform", "fakeupstream"} {
		c.bin[name] = build(t, c.dir, "cuminstair.org/cuminstair/cmd/"+name)
	}
	fleetFile := filepath.Join(c.dir, "fleet.jsonc")
	is.NoErr(os.WriteFile(fleetFile, []byte(c.startUpstreams(t)), 0o600))
	c.platform = start(t, c.bin["fakeplatform"], "--listen", "127.0.0.1:0", "--fleet", fleetFile)
	is.NoErr(os.WriteFile(filepath.Join(c.dir, "ticket.key"), []byte("a key of the test that has 32 bytes or more"), 0o600))
	c.run(t, 0, "cert", "--dir", c.dir, "e1", "e2", "e3")
	for _, p := range daemonSpecs {
		c.startDaemon(t, p.name, p.centre)
	}
	return c, fleetFile
}

// startUpstreams starts the upstreams and returns the text of a fleet file that lists them.
func (c *cluster) startUpstreams(t *testing.T) string {
	t.Helper()
	f := cuminstair.Fleet{
		Name:    "test",
		Centres: []cuminstair.Centre{{Name: "c1", Region: "r"}, {Name: "c2", Region: "r"}},
		Pools:   []cuminstair.Pool{{Name: "kitchen"}},
		Services: []cuminstair.Service{{
			Name: "convert", Pool: "kitchen", Slots: 8, Conns: 64, Budget: cuminstair.Budget{Down: 0.7},
			Kinds: []cuminstair.Kind{
				{Name: "measure", Weight: 3, Deadline: cuminstair.Duration(10 * time.Second), Idempotent: true},
				{Name: "order", Weight: 1, Deadline: cuminstair.Duration(10 * time.Second)},
			},
		}},
		Teams: []cuminstair.Team{{Name: "t1", Quota: cuminstair.Quota{Rate: 10000, Burst: 10000}}},
	}
	for i := range 6 {
		up := start(t, c.bin["fakeupstream"])
		f.Hosts = append(f.Hosts, cuminstair.Host{
			Name: fmt.Sprintf("h%d", i+1), Centre: fmt.Sprintf("c%d", i%2+1), Rack: fmt.Sprintf("r%d", i/2+1), Pool: "kitchen",
			Addr: up.addr, Cores: 32, Memory: 128e9,
		})
	}
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return "// The fleet of the test.\n" + string(data)
}

func (c *cluster) startDaemon(t *testing.T, name, centre string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join(c.dir, name+".jsonc")
	text := fmt.Sprintf(`{
		// Ports are chosen by the system.
		"name": %q, "centre": %q, "platform": %q, "key": %q, "wait": "0s",
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
		"tls": {"peers": {"certificate": %q, "key": %q, "authority": %q}},
	}`, name, centre, c.platform.addr, filepath.Join(c.dir, "ticket.key"), filepath.Join(c.dir, name+".crt"),
		filepath.Join(c.dir, name+".key"), filepath.Join(c.dir, "authority.crt"))
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	p, operators := startDaemonProcess(t, c.bin["cuminstaird"], "-settings", file)
	c.daemons = append(c.daemons, p)
	c.ops = append(c.ops, "http://"+operators)
}

// listenerLine matches the log line of a listener.
var listenerLine = regexp.MustCompile(`for=(\w+) addr=(127\.0\.0\.1:\d+)`)

// startDaemonProcess starts a daemon and kills it when the test ends. It returns the process and the address of its
// operators' listener.
func startDaemonProcess(t *testing.T, name string, args ...string) (p *process, operators string) {
	t.Helper()
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	p = &process{cmd: exec.CommandContext(context.Background(), name, args...)}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	is.NoErr(p.cmd.Start())
	is.NoErr(w.Close()) // The read end then gets EOF when the process exits.
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	for lines := bufio.NewScanner(r); operators == "" && lines.Scan(); {
		switch m := listenerLine.FindStringSubmatch(lines.Text()); {
		case m == nil:
			t.Log(lines.Text())
		case m[1] == "callers":
			p.addr = m[2]
		case m[1] == "operators":
			operators = m[2]
		}
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	is.True(operators != "")
	return p, operators
}

// run runs the operators' command, checks its exit code and returns its output.
func (c *cluster) run(t *testing.T, wantCode int, args ...string) string {
	t.Helper()
	for _, url := range c.ops {
		args = append([]string{"--server", url}, args...)
	}
	cmd := exec.CommandContext(context.Background(), c.bin["cuminstair"], args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != wantCode {
		t.Fatalf("cuminstair %v: exit code %d, want %d: %v\n%s", args, cmd.ProcessState.ExitCode(), wantCode, err, out)
	}
	return string(out)
}

// checkServing sends concurrent requests of both kinds to each daemon and checks that each caller gets its own answer.
func checkServing(t *testing.T, daemons []*process, label string) {
	t.Helper()
	var wg sync.WaitGroup
	for _, d := range daemons {
		for i := range 60 {
			wg.Go(func() {
				want := fmt.Sprintf("%s %s %d", label, d.addr, i)
				if got, err := request(d.addr, []string{"measure", "order"}[i%2], want); err != nil || got != want {
					t.Errorf("%s: got %q: %v", want, got, err)
				}
			})
		}
	}
	wg.Wait()
}

func request(addr, kind, body string) (string, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/s/convert/cups", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Team", "t1")
	r.Header.Set("Kind", kind)
	r.Header.Set("Deadline", "8s")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against programs that don't work together as separate processes: a fleet is applied, and requests are served
// by every daemon, also with the platform stopped and with one daemon killed.
func TestWholeSystem(t *testing.T) {
	is := is.New(t)
	c, fleetFile := startCluster(t)
	out := c.run(t, 0, "apply", "--base", "0", "--wait", applyTimeout.String(), fleetFile)
	is.True(strings.Contains(out, "accepted as generation 1"))
	is.True(strings.Contains(out, "in force in 3 of 3 daemons"))
	checkServing(t, c.daemons, "healthy")

	// Applying the same file again is recognised as a repeat; a different file based on an older generation is a
	// conflict.
	out = c.run(t, 0, "apply", "--base", "0", "--wait", applyTimeout.String(), fleetFile)
	is.True(strings.Contains(out, "accepted before as generation 1"))
	changed := filepath.Join(c.dir, "changed.jsonc")
	text, err := os.ReadFile(fleetFile)
	is.NoErr(err)
	is.NoErr(os.WriteFile(changed, []byte(strings.Replace(string(text), `"burst": 10000`, `"burst": 9999`, 1)), 0o600))
	out = c.run(t, 4, "apply", "--base", "0", changed)
	is.True(strings.Contains(out, "generation 1 is in force"))

	is.NoErr(c.platform.cmd.Process.Kill())
	checkServing(t, c.daemons, "platform down")

	is.NoErr(c.daemons[0].cmd.Process.Kill())
	checkServing(t, c.daemons[1:], "daemon killed")
}
