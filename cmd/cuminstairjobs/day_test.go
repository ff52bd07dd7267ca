package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a failure anywhere on the job path when no fault is injected: settings, ownership, acceptance,
// placement, ends of tasks, states, cancelling, configuration, maintenance and moves, between separate processes over
// the protocol of the users' platform.
func TestCalmDay(t *testing.T) {
	t.Parallel()
	services := []string{"s1", "s2"}
	f := newFleet(t, 3, map[string]int{"s1": 4, "s2": 4, "spare": 2})
	f.site.Configure(services, 3*time.Second)
	f.startAll()
	for i := range 20 {
		f.submit(f.daemons[i%3], services[i%2], jobID(i+1), 3, 150*time.Millisecond)
	}
	longRunning := jobID(100)
	f.submit(f.daemons[0], "s1", longRunning, 3, 0)
	for i := range 20 {
		f.until(shortTimeout, fmt.Sprintf("job %d is completed", i+1), func() bool {
			return f.state(f.daemons[(i+1)%3], services[i%2], jobID(i+1)) == "completed"
		})
		for task, n := range f.site.Starts(jobID(i + 1)) {
			if n != 1 {
				t.Errorf("task %s was started %d times", task, n)
			}
		}
	}
	f.until(shortTimeout, "the long-running job runs", func() bool { return f.site.Running(longRunning) == 3 })

	f.site.Wave(1, "s1", 2)
	f.until(settleTimeout, "the wave is completed", func() bool {
		return string(f.site.Store.Get("status", "", "wave/1")) == `{"state":"completed"}`
	})
	f.until(shortTimeout, "the long-running job runs", func() bool { return f.site.Running(longRunning) == 3 })

	for i, c := range []struct {
		method, path, body string
		status             int
	}{
		{http.MethodGet, "/s1/" + jobID(999), "", http.StatusGone},
		{http.MethodDelete, "/s1/" + jobID(999), "", http.StatusGone},
		{http.MethodGet, "/s9/" + jobID(1), "", http.StatusNotFound},
		{http.MethodGet, "/s1/short", "", http.StatusNotFound},
		{http.MethodPost, "/s1/" + jobID(998), `{"steps":[]}`, http.StatusBadRequest},
		{http.MethodPost, "/s1/" + jobID(998), `{`, http.StatusBadRequest},
		{http.MethodPost, "/s1/" + jobID(998), `{"steps":[{"count":1,"after":[3]}]}`, http.StatusBadRequest},
		{http.MethodPost, "/s1/" + jobID(998), strings.Repeat("x", 300000), http.StatusRequestEntityTooLarge},
		{http.MethodPost, "/s1/" + jobID(997), `{"steps":[{"count":1,"cpu":99000,"mem_mb":1}]}`, http.StatusTooManyRequests},
		{http.MethodPut, "/s1/" + jobID(1), "", http.StatusMethodNotAllowed},
		{http.MethodGet, "/s1/", "", http.StatusOK},
	} {
		if status, text := f.call(f.daemons[i%3], c.method, c.path, c.body); status != c.status {
			t.Errorf("%s %s: status %d (%s), not %d", c.method, c.path, status, text, c.status)
		}
	}

	status, _ := f.call(f.daemons[1], http.MethodDelete, "/s1/"+longRunning, "")
	if status != http.StatusOK {
		t.Errorf("cancel: status %d", status)
	}
	f.until(shortTimeout, "the cancelled job has ended", func() bool { return f.site.Running(longRunning) == 0 })

	f.site.Configure([]string{"s1", "s2", "s3"}, 3*time.Second)
	for _, d := range f.daemons {
		f.until(shortTimeout, "the daemon serves the new queue", func() bool {
			status, _ := f.call(d, http.MethodGet, "/s3/", "")
			return status != http.StatusNotFound
		})
	}
	f.checkNoFaults()
}

// Guards against jobs that are lost or run twice when their owner is killed.
func TestOwnersAreKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, map[string]int{"s1": 3, "s2": 3})
	f.site.Configure([]string{"s1", "s2"}, 3*time.Second)
	f.startAll()
	f.submit(f.daemons[0], "s1", jobID(1), 3, 0)
	f.submit(f.daemons[0], "s2", jobID(2), 4, 3*time.Second)
	f.until(shortTimeout, "both jobs run", func() bool { return f.site.Running(jobID(1)) == 3 && f.site.Running(jobID(2)) == 4 })
	for _, d := range f.daemons[:2] {
		d.signal(syscall.SIGKILL)
	}
	f.until(settleTimeout, "the job is completed", func() bool { return f.state(f.daemons[2], "s2", jobID(2)) == "completed" })
	f.until(shortTimeout, "the long-running job runs", func() bool { return f.site.Running(jobID(1)) == 3 })
	f.submit(f.daemons[2], "s1", jobID(3), 2, 100*time.Millisecond)
	f.until(shortTimeout, "a new job is completed", func() bool { return f.state(f.daemons[2], "s1", jobID(3)) == "completed" })
	f.checkNoFaults()
}

// Guards against a planned stop that cuts off callers, takes longer than the grace time or leaves services without an
// owner, and against a process that ends at SIGHUP.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, map[string]int{"s1": 3, "s2": 3})
	f.site.Configure([]string{"s1", "s2"}, 3*time.Second)
	f.startAll()
	f.submit(f.daemons[0], "s1", jobID(1), 3, 0)
	for i, d := range f.daemons[:2] {
		d.signal(syscall.SIGHUP)
		f.until(shortTimeout, "the settings are reloaded", func() bool { return strings.Contains(d.log.String(), "settings reloaded") })
		d.signal(syscall.SIGTERM)
		f.submit(f.daemons[2], "s1", jobID(10+i), 2, 100*time.Millisecond)
		f.submit(f.daemons[2], "s2", jobID(20+i), 2, 100*time.Millisecond)
		if !d.wait(time.Duration(graceSeconds * float64(time.Second))) {
			t.Errorf("%s has not ended within the grace time", d.name)
		}
		if code := d.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s ended with code %d", d.name, code)
		}
	}
	for _, id := range []string{jobID(10), jobID(11)} {
		f.until(shortTimeout, "a job is completed", func() bool { return f.state(f.daemons[2], "s1", id) == "completed" })
	}
	for task, n := range f.site.Starts(jobID(1)) {
		if n != 1 {
			t.Errorf("long-running task %s was started %d times", task, n)
		}
	}
	f.checkNoFaults()
}

// Guards against tasks that stop and jobs that are accepted while the store is unavailable, and against errors after
// lost answers or a compacted history of the store.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, map[string]int{"s1": 3})
	f.site.Configure([]string{"s1"}, 3*time.Second)
	f.startAll()
	f.submit(f.daemons[0], "s1", jobID(1), 4, 1500*time.Millisecond)
	f.site.Store.LoseAnswers(3)
	f.submit(f.daemons[1], "s1", jobID(2), 2, 100*time.Millisecond)
	f.site.Store.SetDown(true)
	f.until(shortTimeout, "new work is refused", func() bool {
		status, _ := f.call(f.daemons[0], http.MethodPost, "/s1/"+jobID(3), body(jobID(3), 1, false))
		return status == http.StatusServiceUnavailable
	})
	f.until(shortTimeout, "the tasks end while the store is unavailable", func() bool { return f.site.Running(jobID(1)) == 0 })
	f.site.Store.Compact()
	f.site.Store.SetDown(false)
	for _, id := range []string{jobID(1), jobID(2)} {
		f.until(shortTimeout, "a job is completed", func() bool { return f.state(f.daemons[0], "s1", id) == "completed" })
		for task, n := range f.site.Starts(id) {
			if n != 1 {
				t.Errorf("task %s was started %d times", task, n)
			}
		}
	}
	f.site.Configure([]string{"s1", "s2"}, 3*time.Second)
	f.until(shortTimeout, "the daemon serves the new queue", func() bool {
		status, _ := f.call(f.daemons[0], http.MethodGet, "/s2/", "")
		return status != http.StatusNotFound
	})
	f.checkNoFaults()
}

// Guards against invalid settings that are accepted, or that are refused without the name of the field.
func TestSettingsAreChecked(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, map[string]int{"s1": 1})
	data, err := os.ReadFile(f.daemons[0].settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, changed, field string }{
		{`"node_name":"d0"`, `"node_name":""`, "node_name"},
		{`"ip":"127.0.0.1"`, `"ip":"here"`, "ip"},
		{`"form":"table"`, `"form":"log"`, "platform.form"},
		{`"orders":"call"`, `"orders":"heartbeat"`, "orders"},
		{`"max_hold_ms":10000`, `"max_hold_ms":0`, "bounds.max_hold_ms"},
		{`"max_hold_ms":10000`, `"max_hold_ms":"long"`, "max_hold_ms"},
	} {
		file := f.daemons[0].settingsFile + ".bad"
		if err := os.WriteFile(file, []byte(strings.Replace(string(data), c.old, c.changed, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command(program, "--check", "--settings", file).CombinedOutput()
		if err == nil || !strings.Contains(string(out), c.field) {
			t.Errorf("settings with %s: error %v, output %s", c.changed, err, out)
		}
	}
	if out, err := exec.Command(program, "--check", "--settings", f.daemons[0].settingsFile).CombinedOutput(); err != nil {
		t.Errorf("good settings: %v: %s", err, out)
	}
}

// Guards against services that are unavailable because their owner can't reach the store while other daemons can, and
// against daemons that can't reach the store and don't forward requests to an owner.
func TestOwnersWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, map[string]int{"s1": 3, "s2": 3})
	f.site.Configure([]string{"s1", "s2"}, 3*time.Second)
	f.startAll()
	f.submit(f.daemons[0], "s1", jobID(1), 3, 0)
	f.submit(f.daemons[0], "s2", jobID(2), 3, 0)
	f.until(shortTimeout, "both jobs run", func() bool { return f.site.Running(jobID(1)) == 3 && f.site.Running(jobID(2)) == 3 })
	for i, m := range []mode{reset, silent} {
		withoutStore := f.daemons[i : i+2]
		for _, d := range withoutStore {
			d.storeProxy.setMode(m)
		}
		for n, d := range f.daemons {
			for j, service := range []string{"s1", "s2"} {
				f.submit(d, service, jobID(100*(i+1)+10*n+j), 2, 100*time.Millisecond)
			}
		}
		for _, d := range withoutStore {
			d.storeProxy.setMode(passing)
		}
	}
	for task, n := range f.site.Starts(jobID(1)) {
		if n != 1 {
			t.Errorf("long-running task %s was started %d times", task, n)
		}
	}
	f.checkNoFaults()
}
