package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against a preview by a daemon that does not own the service, for an account or a queue that does not exist, without an
// account that is needed, of a malformed job, or beside another preview.
func TestPreviewThroughAnotherDaemon(t *testing.T) {
	is := is.New(t)
	owner, r := ownerDaemon(t)
	owner.Settings.Name = "d1"
	server := newLossyServer(t, owner)
	asked := newForwarder(t)
	knowOwner(t, asked, "s", "d1", server.addr(), 7)
	config := limitedConfig()
	config.Version = 4
	config.Queues[0].Host, config.Queues[0].Prefix = "q.example", "/queue/"
	asked.config.Store(config)
	ask := func(path, account, job string) (int, PreviewReply) {
		data, err := json.Marshal(PreviewRequest{Host: "q.example", Path: path, Account: account, Job: json.RawMessage(job)})
		is.NoErr(err)
		w, q := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, PreviewPath, strings.NewReader(string(data)))
		q.Header.Set("Content-Type", "application/json")
		asked.peerServer().Handler.ServeHTTP(w, q)
		var a PreviewReply
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
		return w.Code, a
	}
	const job = `{"specification":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":100}]}`
	code, a := ask("/queue/", "acme", job)
	is.Equal(a.Error, "")
	is.Equal(code, http.StatusOK)
	is.Equal([]any{a.Owner, a.Queue, a.Config, a.Preview.Service, a.Preview.Account.Name}, []any{"d1", "q", int64(4), "s", "acme"})
	is.Equal(r.state.Open(), 0)
	for _, c := range []struct {
		path, account, job string
		want               int
	}{
		{"/other/", "acme", job, http.StatusNotFound},
		{"/queue/", "nobody", job, http.StatusNotFound},
		{"/queue/", "", job, http.StatusUnauthorized},
		{"/queue/", "acme", `{"steps":[]}`, http.StatusBadRequest},
	} {
		code, a := ask(c.path, c.account, c.job)
		is.Equal(code, c.want)
		is.True(a.Error != "" && a.Preview == nil)
	}
	for _, busy := range []*Daemon{asked, owner} {
		busy.previewing.Store(true)
		code, _ := ask("/queue/", "acme", job)
		is.Equal(code, http.StatusTooManyRequests)
		busy.previewing.Store(false)
	}
	config.Accounts, config.Queues = nil, []cuminstair.WorkQueue{{Name: "q", Service: "nowhere", Host: "q.example", Prefix: "/queue/"}}
	code, _ = ask("/queue/", "", job)
	is.Equal(code, http.StatusServiceUnavailable)
}
