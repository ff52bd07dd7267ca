package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
)

// post sends a call of another daemon and returns the answer.
func post(d *Daemon, path, body string) string {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	answer := httptest.NewRecorder()
	d.peerServer().Handler.ServeHTTP(answer, req)
	return strings.TrimSpace(answer.Body.String())
}

// Guards against a former owner that was cut off and offers its service, which would take it from the present owner.
func TestOffersOfFormerOwnersAreRefused(t *testing.T) {
	is := is.New(t)
	d, old := peerDaemon()
	delete(d.runners, old.service)
	d.workCtx = t.Context()
	d.Store = &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}
	owner, err := json.Marshal(ownership.Owner{Name: "d3", Run: "run3", Addr: "d3:1"})
	is.NoErr(err)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: "s", Key: ownership.OwnerKey}
	d.view.Apply(peerTime, []cuminstair.Record{{RecordKey: key, Value: owner, Version: 4}})
	is.Equal(post(d, offerPath, `{"service":"s","run":"run2"}`), `{"taken":false}`)
	is.True(!d.taking["s"])
}
