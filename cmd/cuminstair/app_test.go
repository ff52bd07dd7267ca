package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/operator"
)

// fakeDaemon returns fixed results. Methods that it doesn't define panic.
type fakeDaemon struct {
	cuminstair.Operations
	applied cuminstair.ApplyRequest
	missing []string
	err     error
}

func (f *fakeDaemon) Apply(_ context.Context, a cuminstair.ApplyRequest) (cuminstair.ApplyResult, error) {
	f.applied = a
	return cuminstair.ApplyResult{Generation: a.Base + 1, Changes: []string{"pool scale: added"}}, f.err
}

func (f *fakeDaemon) Force(_ context.Context, generation uint64) (cuminstair.ForceStatus, error) {
	return cuminstair.ForceStatus{Generation: generation, Confirmed: []string{"e1"}, Missing: f.missing}, nil
}

func (f *fakeDaemon) Hosts(context.Context) ([]cuminstair.HostInfo, error) {
	return []cuminstair.HostInfo{{Name: "h1", Pool: "scale", State: cuminstair.HostActive}}, f.err
}

func (f *fakeDaemon) ChangeHost(context.Context, string, string) error { return f.err }

// command runs the command against a daemon and returns its exit code and output.
func command(t *testing.T, d *fakeDaemon, args ...string) (code int, out, errs string) {
	t.Helper()
	srv := httptest.NewServer((&operator.Server{Operations: d, Log: hclog.NewNullLogger()}).Handler())
	defer srv.Close()
	var stdout, stderr bytes.Buffer
	args = append([]string{"cuminstair", "--server", srv.URL}, args...)
	code = run(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func fleetFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "fleet.jsonc")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Guards against an apply that is sent without the generation that the file is based on.
func TestApplyNeedsBase(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{}
	code, _, errs := command(t, d, "apply", fleetFile(t, "{}"))
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errs, "--base"))

	code, out, _ := command(t, d, "apply", fleetFile(t, "// generation: 7\n{}"))
	is.Equal(code, exitOK)
	is.Equal(d.applied.Base, uint64(7))
	is.True(strings.Contains(out, "accepted as generation 8"))
	is.True(strings.Contains(out, "in force in 1 of 1 daemons"))
}

// Guards against exit codes that differ from the documented ones, on which scripts rely.
func TestExitCodes(t *testing.T) {
	file := fleetFile(t, "{}")
	for _, tc := range []struct {
		name string
		d    *fakeDaemon
		args []string
		want int
		text string
	}{
		{
			"conflict", &fakeDaemon{err: &cuminstair.StaleError{Base: 1, Current: 2, Changes: []string{"pool scale: removed"}}},
			[]string{"apply", "--base", "1", file},
			exitConflict, "pool scale: removed",
		},
		{
			"faults", &fakeDaemon{err: &cuminstair.FaultsError{Faults: []cuminstair.Fault{{File: "f", Line: 3, Field: "name", Message: "is missing"}}}},
			[]string{"apply", "--base", "1", file},
			exitFaults, "f:3: name: is missing",
		},
		{
			"not everywhere", &fakeDaemon{missing: []string{"e2"}},
			[]string{"apply", "--wait", "1ms", "--base", "1", file},
			exitPending, "e2",
		},
		{"no host", &fakeDaemon{err: cuminstair.ErrNotFound}, []string{"host", "drain", "h9"}, exitMissing, "h9"},
		{"platform down", &fakeDaemon{err: cuminstair.ErrUnavailable}, []string{"status", "hosts"}, exitUnavailable, "unavailable"},
		{"no argument", &fakeDaemon{}, []string{"host", "drain"}, exitUsage, "HOST"},
		{"no file", &fakeDaemon{}, []string{"apply", "--base", "1", "no-such-file"}, exitUsage, "no-such-file"},
		{"bad output", &fakeDaemon{}, []string{"--output", "xml", "status", "hosts"}, exitUsage, "xml"},
		{"bad flag", &fakeDaemon{}, []string{"apply", "--nonsense"}, exitUsage, "nonsense"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			code, _, errs := command(t, tc.d, tc.args...)
			is.Equal(code, tc.want)
			is.True(strings.Contains(errs, tc.text))
		})
	}
}

// Guards against an --output flag that has no effect, and against a default format other than the table.
func TestOutputFormats(t *testing.T) {
	is := is.New(t)
	code, out, _ := command(t, &fakeDaemon{}, "status", "hosts")
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "NAME  CENTRE"))
	is.True(strings.Contains(out, "h1"))
	code, out, _ = command(t, &fakeDaemon{}, "--output", "json", "status", "hosts")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, `"pool": "scale"`))
}

// Guards against a command without a help text, and against a man page that differs from the commands.
func TestManPageIsCurrent(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	is.Equal(run(context.Background(), []string{"cuminstair", "man"}, &out, &errs), exitOK)
	page, err := os.ReadFile("../../man/cuminstair.1")
	is.NoErr(err)
	is.Equal(string(page), out.String()) // run: go run ./cmd/cuminstair man > man/cuminstair.1
	for _, c := range newApp(&out, &errs).Commands {
		is.True(c.Usage != "")
	}
}
