package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

const fleetText = `{
	// One host for the test.
	"name": "test",
	"centres": [{"name": "c1", "region": "r1"}],
	"pools": [{"name": "p1"}],
	"hosts": [{"name": "h1", "centre": "c1", "rack": "k1", "pool": "p1", "addr": "%s", "cores": 32, "memory": "128GB"}],
	"services": [{"name": "scale", "pool": "p1", "slots": 8, "conns": 64, "budget": {"down": 0.1},
		"kinds": [{"name": "portion", "weight": 1, "deadline": "10s"}]}],
	"teams": [{"name": "t1", "quota": {"rate": 1000, "burst": 100}}],
}`

const settingsText = `{
	"name": "e1", "centre": "c1", "fleet": "fleet.json", "wait": "0s",
	"listen": {"callers": "127.0.0.1:0"},
}`

var address = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// process is a program under test that prints the address it listens on.
type process struct {
	cmd  *exec.Cmd
	addr string
}

// start starts a program, waits until it prints its address and kills it when the test ends.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	p := &process{cmd: exec.CommandContext(context.Background(), name, args...)}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	is.NoErr(p.cmd.Start())
	is.NoErr(w.Close()) // The read end then gets EOF when the process exits.
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if p.addr = address.FindString(lines.Text()); p.addr != "" {
			break
		}
		t.Log(lines.Text())
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	is.True(p.addr != "")
	return p
}

func build(t *testing.T, dir, pkg string) string {
	t.Helper()
	name := filepath.Join(dir, filepath.Base(pkg))
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", name, pkg).CombinedOutput()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", pkg, err, out)
	}
	return name
}

// Guards against programs that don't work together as separate processes, and against a planned stop that fails.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	up := start(t, build(t, dir, "cuminstair.org/cuminstair/cmd/fakeupstream"))
	write := func(name, text string) {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("fleet.json", fmt.Sprintf(fleetText, up.addr))
	write("settings.json", settingsText)
	d := start(t, build(t, dir, "cuminstair.org/cuminstair/cmd/cuminstaird"), "-settings", filepath.Join(dir, "settings.json"))

	resp := post(t, d.addr, "my own request")
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "my own request")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get("Outcome"), "done")
	is.Equal(resp.Header.Get("Reason"), "ok")
	is.True(strings.HasPrefix(resp.Header.Get("Request"), "e1-"))

	is.NoErr(d.cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(d.cmd.Wait())
}

func post(t *testing.T, addr, body string) *http.Response {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/s/scale/portions", strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Team", "t1")
	r.Header.Set("Kind", "portion")
	r.Header.Set("Deadline", "5s")
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// Guards against a daemon that starts with wrong settings, or that reports only the first fault.
func TestWrongSettings(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	is.NoErr(os.WriteFile(file, []byte("{\n\"name\": \"e1\",\n\"stop\": 5\n}"), 0o600))
	cmd := exec.CommandContext(context.Background(), build(t, dir, "cuminstair.org/cuminstair/cmd/cuminstaird"), "-settings", file)
	out, err := cmd.CombinedOutput()
	is.True(err != nil)
	is.Equal(cmd.ProcessState.ExitCode(), 1)
	for _, want := range []string{"settings.json:3: stop: ", "centre: is missing", "listen.callers: is missing"} {
		is.True(strings.Contains(string(out), want))
	}
}
