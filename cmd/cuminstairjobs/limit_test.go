package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"cuminstair.org/cuminstair/standin/site"
)

// Guards against tasks of an account that together exceed its limit on the workers of two services with different owners, also while
// a daemon is killed, and against a limit that stays unused.
func TestLimitOfAClientAccountAcrossServices(t *testing.T) {
	const most = 3 // tasks of 4 cores within the limit
	f := newFleet(t, 3, map[string]int{"bakery": 2, "dairy": 2})
	accounts := []site.Account{{Name: "a", Keys: []string{"a1"}, Limit: map[string]int{"cpu": 4000 * most}}}
	f.site.ConfigureAccounts([]string{"bakery", "dairy"}, 3*time.Second, accounts)
	f.startAll()
	paths := map[string]string{jobID(1): "/bakery/" + jobID(1), jobID(2): "/dairy/" + jobID(2)}
	for id, path := range paths {
		f.site.DeclareJob(id, site.Task{CPU: 4000, Length: 400 * time.Millisecond})
		f.until(shortTimeout, "the job is accepted", func() bool {
			return f.callAs(f.daemons[0], "Token a1", http.MethodPost, path, body(id, 12, false)) == http.StatusOK
		})
	}
	used, killed := 0, false
	f.until(2*shortTimeout, "the tasks are done", func() bool {
		running, started := 0, 0
		for id := range paths {
			running += f.site.Running(id)
			started += len(f.site.Starts(id))
		}
		if used = max(used, running); running > most {
			t.Fatalf("%d tasks run within a limit of %d", running, most)
		}
		if started > 6 && !killed {
			killed = true
			f.daemons[2].signal(syscall.SIGKILL)
		}
		return started == 24 && running == 0
	})
	if used < most {
		t.Errorf("at most %d tasks ran within a limit of %d", used, most)
	}
	f.checkNoFaults()
}
