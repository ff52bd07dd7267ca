package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"cuminstair.org/cuminstair/standin/site"
)

// callAs sends a request with an Authorization header, which may be empty, and returns the status.
func (f *fleet) callAs(d *daemon, auth, method, path, body string) int {
	status, _ := f.callWith(d, method, path, body, func(h http.Header) {
		if auth != "" {
			h.Set("Authorization", auth)
		}
	})
	return status
}

// Guards against calls without a valid key that are served, jobs that another account can see or cancel, accounts that are lost
// when their service gets another owner, and keys that are still valid on open connections after a version has removed them.
func TestKeysOfClientAccounts(t *testing.T) {
	f := newFleet(t, 3, map[string]int{"bakery": 3})
	accounts := []site.Account{{Name: "a", Keys: []string{"a1", "a2"}}, {Name: "b", Keys: []string{"b1"}}}
	f.site.ConfigureAccounts([]string{"bakery"}, 3*time.Second, accounts)
	f.startAll()
	id := jobID(1)
	f.site.DeclareJob(id, site.Task{CPU: 4000})
	path := "/bakery/" + id
	f.until(shortTimeout, "the job is accepted", func() bool {
		return f.callAs(f.daemons[0], "Token a1", http.MethodPost, path, body(id, 1, true)) == http.StatusOK
	})
	answers := func(auth, method, path string, want int) bool {
		for _, d := range f.daemons {
			if f.callAs(d, auth, method, path, body(id, 1, true)) != want {
				return false
			}
		}
		return true
	}
	check := func(auth, method, path string, want int) {
		t.Helper()
		if !answers(auth, method, path, want) {
			t.Errorf("%s %s with %q is not answered with %d", method, path, auth, want)
		}
	}
	for _, auth := range []string{"", "Token", "Token c1", "Bearer a1"} {
		check(auth, http.MethodGet, path, http.StatusUnauthorized)
		check(auth, http.MethodPost, path, http.StatusUnauthorized)
		check(auth, http.MethodDelete, path, http.StatusUnauthorized)
		check(auth, http.MethodGet, "/bakery/", http.StatusUnauthorized)
	}
	check("Token c1", http.MethodGet, "/unknown/"+id, http.StatusNotFound)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		check("Token b1", method, path, http.StatusForbidden)
	}
	for _, d := range f.daemons[:2] {
		d.signal(syscall.SIGKILL)
	}
	f.daemons = f.daemons[2:]
	f.until(shortTimeout, "the service has an owner", func() bool { return answers("Token a1", http.MethodGet, path, http.StatusOK) })
	check("Token b1", http.MethodGet, path, http.StatusForbidden)
	check("Token a2", http.MethodGet, path, http.StatusOK)
	accounts[0].Keys = []string{"a2"}
	f.site.ConfigureAccounts([]string{"bakery"}, 3*time.Second, accounts)
	f.until(shortTimeout, "the removed key is refused", func() bool {
		return answers("Token a1", http.MethodGet, path, http.StatusUnauthorized)
	})
	check("Token a2", http.MethodGet, path, http.StatusOK)
	check("Token a2", http.MethodPost, path, http.StatusOK)
	check("Token a2", http.MethodDelete, path, http.StatusOK)
	f.checkNoFaults()
}
