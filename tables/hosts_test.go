package tables_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
)

// Guards against a host list that is read in full each time, that misses a change which becomes visible late, or that
// keeps hosts from an earlier process of the platform.
func TestHostListReadsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, s, d, run := setup(t)
		handler, entries := d.handler, 0
		d.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rec := httptest.NewRecorder()
			handler.ServeHTTP(rec, r)
			entries = strings.Count(rec.Body.String(), `"role"`)
			_, _ = w.Write(rec.Body.Bytes())
		})
		s.AddHosts(table.Host{Name: "h1", Centre: "c"}, table.Host{Name: "h2", Centre: "c"})
		state := func(want ...string) {
			t.Helper()
			run(func() {
				list, err := c.Hosts(t.Context())
				is.NoErr(err)
				is.Equal(len(list), len(want))
				for i := range list {
					is.Equal(list[i].State, want[i])
				}
			})
		}
		state(table.StateLive, table.StateLive)
		s.SetFaults(table.Faults{Lag: cuminstair.Duration(time.Minute)})
		s.FailHost("h2")
		state(table.StateLive, table.StateLive)
		s.SetFaults(table.Faults{})
		state(table.StateLive, table.StateGone)
		is.Equal(entries, 1)
		state(table.StateLive, table.StateGone)
		is.Equal(entries, 0)

		other := &table.Service{Timer: timer.NewVirtual(time.Unix(5000, 0))}
		other.AddHosts(table.Host{Name: "h2", Centre: "c"})
		handler = other.Handler()
		state(table.StateLive)
	})
}
