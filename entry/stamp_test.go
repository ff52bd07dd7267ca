package entry

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// workerOwner returns the owner of the service s, which it took over a minute ago, with an idle worker.
func workerOwner(t *testing.T) (*Daemon, *runner) {
	d, r := ownerDaemon(t)
	done := make(chan struct{})
	r.post(func(now time.Time) {
		r.takenAt = now.Add(-time.Minute)
		r.state.SetWorkers(now, []cuminstair.WorkerInfo{{ID: "w", Service: "s", CPU: 1000, Memory: 1000}})
		r.state.Renewed(now, now, "w", cuminstair.WorkerReport{Clock: time.Hour}, nil)
	})
	r.post(func(now time.Time) {
		r.state.Decide(now, now)
		close(done)
	})
	<-done
	return d, r
}

// usableWorkers returns how many workers the service may give tasks.
func usableWorkers(r *runner) int {
	answers := make(chan dispatch.Demand, 1)
	r.post(func(now time.Time) { answers <- r.state.Demand(now, 0, 0) })
	return (<-answers).Workers
}

// Guards against requests of the controller of hosts that TCP delivers long after they were given up: workers are drained that
// nobody takes down or moves, and old figures replace newer ones.
func TestLateRequestsOfTheControllerAreNotCarriedOut(t *testing.T) {
	is := is.New(t)
	d, r := workerOwner(t)
	is.Equal(usableWorkers(r), 1)
	send := func(path, stamp string) (a cordonReply) {
		is.NoErr(json.Unmarshal([]byte(post(d, path, `{"service":"s","workers":["w"],"incoming":9,"stamp":`+stamp+`}`)), &a))
		return a
	}
	stampAt := func(runner string, token uint64, age time.Duration) string {
		return fmt.Sprintf(`{"runner":%q,"token":%d,"at":%d}`, runner, token, time.Minute-age)
	}
	for _, path := range []string{cordonPath, demandPath} {
		is.True(send(path, stampAt(r.id, r.token, 12600*time.Millisecond)).Late)
		is.True(send(path, stampAt(r.id, r.token-1, 0)).Late)
		is.True(send(path, stampAt("run0.1", r.token, 0)).Late) // another run of the daemon
		is.True(send(path, `{}`).Late)
		is.Equal(usableWorkers(r), 1)
	}
	is.True(!send(demandPath, stampAt(r.id, r.token, time.Second)).Late)
	is.Equal(send(cordonPath, stampAt(r.id, r.token, time.Second)).Idle, []string{"w"})
	is.Equal(usableWorkers(r), 0)
}

// Guards against a controller of hosts that is refused since it has no recent stamp, or that acts on the answer of a former
// owner, whose idle workers may have tasks of its successor.
func TestControllerRepeatsARequestWithTheStampOfTheAnswer(t *testing.T) {
	is := is.New(t)
	owner, r := workerOwner(t)
	server := httptest.NewServer(owner.peerServer().Handler)
	defer server.Close()
	c, _ := peerDaemon()
	delete(c.runners, "s")
	addr := server.Listener.Addr().String()
	node, err := json.Marshal(ownership.Node{Run: "run2", Addr: addr, Ready: true})
	is.NoErr(err)
	record, err := json.Marshal(ownership.Owner{Name: "d2", Run: "run2", Addr: addr})
	is.NoErr(err)
	c.view.Apply(peerTime, []cuminstair.Record{
		{RecordKey: cuminstair.RecordKey{Table: ownership.Table, Part: ownership.NodePart, Key: "d2"}, Value: node, Version: 1},
		{RecordKey: cuminstair.RecordKey{Table: ownership.Table, Part: "s", Key: ownership.OwnerKey}, Value: record, Version: r.token},
	})
	c.stamps.observe("s", &stamp{Runner: r.id, Token: r.token, At: time.Second}) // 59 s old
	_, ok := c.demand(t.Context(), demandRequest{Service: "s"})
	is.True(ok)
	is.Equal(c.cordon(t.Context(), "s", []string{"w"}), []string{"w"})
	c.stamps.observe("s", &stamp{Token: r.token + 1})
	is.Equal(len(c.cordon(t.Context(), "s", []string{"w"})), 0)
}
