package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair/caller"
)

// maxFuzz bounds the total size of the inputs, in bytes.
const maxFuzz = 4096

// Guards against headers of callers that crash the server, that are accepted although they don't match the fleet, that
// reach the upstream although they are meant for the daemon, or whose refusal has no outcome.
func FuzzHeaders(f *testing.F) {
	f.Add("t1", "portion", "5s", "", "close")
	f.Add("t1", "convert", "1500ms", "", "X-Hop, Kind")
	f.Add("t1", "portion", "-1s", "", "")
	f.Add("t1", "portion", "9223372036854775807ns", "", "")
	f.Add("t1", "portion", "1e9h", "", "")
	f.Add("t1", "portion", ".5s", "", "Deadline")
	f.Add("t1", "portion", "10s1ns", "", "")
	f.Add("", "\x00", "5", "e1.1.2.3.sig", ",,")
	f.Fuzz(func(t *testing.T, team, kind, deadline, ticket, connection string) {
		if len(team)+len(kind)+len(deadline)+len(ticket)+len(connection) > maxFuzz {
			return
		}
		r := newRig(t, done)
		req := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/s/scale/work", strings.NewReader("body"))
		req.Header = http.Header{
			"Team": {team}, "Kind": {kind}, "Deadline": {deadline}, "Ticket": {ticket}, "Connection": {connection}, "X-Hop": {"1"},
		}
		w := r.serve(req)
		limit, err := time.ParseDuration(deadline)
		valid := team == "t1" && (kind == "portion" || kind == "convert") && err == nil && limit > 0 &&
			limit <= 10*time.Second && ticket == ""
		want, status := "notrun", http.StatusBadRequest
		if valid {
			want, status = "done", http.StatusOK
		}
		if w.Header().Get("Outcome") != want || w.Code != status || len(r.sender.hosts) > 0 != valid {
			t.Errorf("outcome %s, status %d, sent to %v", w.Header().Get("Outcome"), w.Code, r.sender.hosts)
		}
		for _, name := range []string{"Team", "Kind", "Deadline", "Ticket", "Connection"} {
			if valid && r.sender.header[name] != nil {
				t.Errorf("header %s was sent to the upstream", name)
			}
		}
		if !valid && !strings.Contains(w.Body.String(), "header ") && ticket == "" {
			t.Errorf("the refusal does not say what to change: %s", w.Body)
		}
		if w.Body.Len() > caller.MaxBody {
			t.Error("the refusal is longer than caller.MaxBody")
		}
	})
}
