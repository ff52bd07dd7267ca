package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/entry"
	"cuminstair.org/cuminstair/standin/site"
)

// preview runs the subcommand and returns its exit code and what it writes.
func preview(d *daemon, job string, args ...string) (code int, out, errs string) {
	cmd := exec.Command(program, append([]string{"preview", "--daemon", d.internalAddr, "--host", "q.example", "--job", job}, args...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	_ = cmd.Run() // the exit code tells the result
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// Guards against a preview that names another worker than the one which then gets the task, also when the daemon that is asked is
// not the owner, against a preview that starts or keeps the job, and against wrong input that is not reported.
func TestPreviewNamesTheWorker(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, map[string]int{"bakery": 3})
	f.site.Configure([]string{"bakery"}, 3*time.Second)
	f.startAll()
	f.submit(f.daemons[0], "bakery", jobID(1), 1, 30*time.Second) // one worker is the best fit for the next task
	f.until(shortTimeout, "the task runs", func() bool { return f.site.Running(jobID(1)) == 1 })
	want := f.site.Workers("bakery")[0]
	for _, w := range f.site.Workers("bakery") {
		if w.Running() == 1 {
			want = w
		}
	}
	write := func(text string) string {
		name := filepath.Join(t.TempDir(), "job.json")
		is.NoErr(os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	job := write(body(jobID(2), 1, false))
	for _, d := range f.daemons {
		code, out, errs := preview(d, job, "--path", "/bakery/", "--json")
		is.Equal(errs, "")
		is.Equal(code, 0)
		var a entry.PreviewReply
		is.NoErr(json.Unmarshal([]byte(out), &a))
		is.True(a.Preview.Admission.Accept)
		is.Equal(a.Preview.Steps[0].Eligible, 3)
		is.Equal(a.Preview.Steps[0].Workers[0].ID, want.ID)
		_, out, _ = preview(d, job, "--path", "/bakery/")
		t.Log(out)
		is.True(strings.Contains(out, want.ID))
	}
	is.Equal(f.state(f.daemons[0], "bakery", jobID(2)), "410") // not sent
	f.site.DeclareJob(jobID(2), site.Task{CPU: 4000, Length: 30 * time.Second})
	f.submit(f.daemons[0], "bakery", jobID(2), 1, 30*time.Second)
	f.until(shortTimeout, "the task runs on the worker", func() bool { return want.Running() == 2 })
	for _, c := range []struct{ job, path, account, want string }{
		{write(`{"steps":`), "/bakery/", "", "not JSON"},
		{write(`{"steps":[{"count":0}]}`), "/bakery/", "", "malformed"},
		{job, "/unknown/", "", "no such queue"},
		{job, "/bakery/", "nobody", "no such client account"},
		{filepath.Join(t.TempDir(), "missing"), "/bakery/", "", "read job"},
	} {
		code, out, errs := preview(f.daemons[0], c.job, "--path", c.path, "--account", c.account)
		is.Equal(code, 1)
		is.Equal(out, "")
		if !strings.Contains(errs, c.want) {
			t.Errorf("%q does not contain %q", errs, c.want)
		}
	}
	f.checkNoFaults()
}
