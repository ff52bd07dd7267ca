package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
)

// FuzzPeerCalls sends any bytes as calls of another daemon to the owner of a service. Guards against a malformed call
// that ends the process.
func FuzzPeerCalls(f *testing.F) {
	paths := []string{callPath, cordonPath, demandPath, stopPath, offerPath, notifyPath, openPath}
	for i, seed := range []string{
		`{"method":"POST","id":"00000000000000aa","queue":{"Name":"q","Service":"s"},"job":{"steps":[{"n":2,"cpu":100,"after":[3]}]}}`,
		`{"service":"s","workers":["a"],"due":["b"],"yield":-1}`,
		`{"service":"s","incoming":-7,"available":1000000000000}`,
		`{"service":"s","token":-1,"run":"r","owner":""}`,
		`{"service":""}`,
		`{}`,
	} {
		f.Add(uint8(i), []byte(seed))
	}
	f.Add(uint8(0), []byte(`{"method":"POST","id":"x","queue":{"Service":"s"},"job":{"steps":[{"n":-1}]}}`))
	f.Add(uint8(0), []byte(`{"method":"POST","id":"x","queue":{"Service":"s"},"job":{"steps":[{"n":9}],"times":1000000000}}`))
	f.Add(uint8(0), []byte(`{"method":"DELETE","id":"00000000000000aa","queue":{"Service":"s"},"n":1,"stamp":{"token":7,"at":-9223372036854775808}}`))
	f.Add(uint8(1), []byte(`{"service":"s","workers":["a"],"stamp":{"runner":".1","token":7,"at":9223372036854775807}}`))
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		d, r := peerDaemon()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case fn := <-r.events:
					fn(peerTime)
					r.state.Stored(peerTime, batchOf(r.state))
					r.state.Decide(peerTime, peerTime)
				case <-stop:
					return
				}
			}
		}()
		defer close(stop)
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		d.peerServer().Handler.ServeHTTP(httptest.NewRecorder(), req)
	})
}

var peerTime = time.Unix(1_700_000_000, 0)

// peerDaemon returns a daemon that owns the service s, without workers.
func peerDaemon() (*Daemon, *runner) {
	d := &Daemon{Timer: fixedTimer{now: peerTime}, Log: hclog.NewNullLogger(), Settings: &platform.Settings{}, Metrics: NewMetrics(prometheus.NewRegistry())}
	d.view = ownership.NewView("d1", "run1")
	d.ownerHints, d.taking, d.newerOwners = map[string]ownerHint{}, map[string]bool{}, map[string]int64{}
	d.readOwnersNow, d.peers = make(chan struct{}, 1), newPeerClient()
	r := newRunner(d, "s", 7, ownership.Owner{}, false)
	d.runners = map[string]*runner{"s": r}
	close(r.done) // a caller whose job is not answered is not kept waiting
	return d, r
}

// batchOf returns what the service writes now, or an empty batch.
func batchOf(s *dispatch.Service) *dispatch.Batch {
	if b := s.Batch(peerTime); b != nil {
		return b
	}
	return &dispatch.Batch{}
}
