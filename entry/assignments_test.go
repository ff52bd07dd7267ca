package entry

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
)

var (
	moveSeeds = flag.Int("move.seeds", 12, "number of walks of TestQueuesMoveBetweenServices")
	moveFirst = flag.Uint64("move.first", 1, "first seed of TestQueuesMoveBetweenServices")
)

const (
	moveSteps     = 150
	moveEntries   = 3
	moveQueues    = 3
	submittedJob  = `{"specification":"x","steps":[{"count":1,"cpu":100,"mem_mb":100,"long_running":true}]}`
	runnerStepGap = 200 * time.Microsecond
)

// movers is a fleet whose queues go from one service to another: an owner for each service, and entry daemons that apply the
// versions of the configuration at different times.
type movers struct {
	t        *testing.T
	is       *is.I
	rng      *rand.Rand
	store    *conditionalStore
	services []string
	owners   map[string]*Daemon
	entries  []*Daemon
	newest   *cuminstair.JobConfig
	accepted map[string]assignment.Key // by job
	deleted  map[string]bool           // jobs whose cancellation was acknowledged
	refused  map[string]bool           // jobs whose submissions were all refused
	jobs     int
	log      []string
}

func newMovers(t *testing.T, seed uint64) *movers {
	m := &movers{
		t: t, is: is.New(t), rng: rand.New(rand.NewPCG(seed, 1)), services: []string{"s1", "s2", "s3"},
		store:  &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}},
		owners: map[string]*Daemon{}, accepted: map[string]assignment.Key{}, deleted: map[string]bool{}, refused: map[string]bool{},
	}
	for range moveEntries {
		d := newForwarder(t)
		d.Store, d.Metrics = m.store, m.metrics()
		m.entries = append(m.entries, d)
	}
	m.configure()
	for _, s := range m.services {
		m.takeOver(s)
	}
	for _, d := range m.entries {
		d.config.Store(m.newest)
	}
	return m
}

func (m *movers) metrics() *Metrics {
	d, _ := peerDaemon()
	return d.Metrics
}

func (m *movers) notef(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf(format, args...))
}

// takeOver makes a new daemon the owner of a service, with the records in the store.
func (m *movers) takeOver(service string) {
	m.notef("owner of %s", service)
	d, _ := peerDaemon()
	clock := newForwarder(m.t)
	d.Timer, d.Store, d.runners = clock.Timer, m.store, map[string]*runner{}
	m.store.mu.Lock()
	m.store.version++
	token := m.store.version
	m.store.mu.Unlock()
	old := m.owners[service]
	if old != nil {
		old.runners[service].closed.Store(true)
		old.runners[service].depose("another owner")
		<-old.runners[service].done
	}
	r := newRunner(d, service, token, ownership.Owner{Name: service, Seq: 1}, old != nil)
	jobs, _, _ := m.store.Read(m.t.Context(), dispatch.JobTable, service, "", "")
	runs, _, _ := m.store.Read(m.t.Context(), dispatch.RunTable, service, "", "")
	workers, _, _ := m.store.Read(m.t.Context(), dispatch.WorkerTable, service, "", "")
	r.state.Recover(d.Timer.Now(), jobs, runs, workers)
	d.runners[service] = r
	d.config.Store(m.newest)
	go m.serve(r)
	m.owners[service] = d
	addr := newLossyServer(m.t, d).addr()
	for _, e := range append(m.entries, m.owners[service]) {
		e.setOwnerHint(service, addr)
	}
	for s, o := range m.owners {
		d.setOwnerHint(s, o.addr)
	}
}

// serve takes the steps of a runner whose writes are stored at once.
func (m *movers) serve(r *runner) {
	defer close(r.done)
	for {
		select {
		case fn := <-r.events:
			now := r.d.Timer.Now()
			fn(now)
		case <-time.After(runnerStepGap):
		case <-m.t.Context().Done():
			return
		}
		now := r.d.Timer.Now()
		if r.state.Deposed() {
			r.state.AnswerAll()
			return
		}
		r.confirmedAt = now
		r.state.Decide(now, now)
		if b := r.state.Batch(now); b != nil && !b.Empty() {
			_, _ = m.store.Commit(m.t.Context(), cuminstair.Tx{Puts: b.Puts, Deletes: b.Deletes})
			r.state.Stored(now, b)
		}
	}
}

// configure writes a version of the configuration in which queues have gone to other services, are removed, or have other names.
func (m *movers) configure() {
	c := &cuminstair.JobConfig{Version: 1 + m.rng.Int64N(5)}
	if m.newest != nil {
		c.Version += m.newest.Version
	}
	for i := range moveQueues {
		if m.newest != nil && m.rng.IntN(5) == 0 {
			continue
		}
		c.Queues = append(c.Queues, cuminstair.WorkQueue{
			Name: fmt.Sprintf("q%d", m.rng.IntN(9)), Host: "h", Prefix: fmt.Sprintf("/p%d/", i), Service: m.services[m.rng.IntN(len(m.services))], Target: time.Second,
		})
	}
	for _, s := range m.services {
		c.Pools = append(c.Pools, cuminstair.WorkPool{Name: s})
	}
	m.newest = c
	m.notef("version %d: %+v", c.Version, c.Queues)
}

// call makes a call of a client and returns the status.
func (m *movers) call(d *Daemon, method, id string, key assignment.Key) int {
	w := httptest.NewRecorder()
	body := ""
	if method == http.MethodPost {
		body = submittedJob
	}
	req := httptest.NewRequestWithContext(m.t.Context(), method, "http://"+key.Host+key.Prefix+id, strings.NewReader(body))
	req.Header.Set(platform.DeadlineHeader, "3000")
	d.callerServer().Handler.ServeHTTP(w, req)
	m.notef("%s %s %s at a daemon with version %d: %d", method, key.Prefix, id, d.config.Load().Version, w.Code)
	return w.Code
}

// at returns the services that have a job, according to the store.
func (m *movers) at(id string) []string {
	var list []string
	for _, s := range m.services {
		if rows, _, _ := m.store.Read(context.Background(), dispatch.JobTable, s, id, id+"\x00"); len(rows) > 0 {
			list = append(list, s)
		}
	}
	return list
}

func (m *movers) failf(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(m.log, "\n"))
}

// anyJob returns an accepted job, or false if there is none.
func (m *movers) anyJob() (string, assignment.Key, bool) {
	n := m.rng.IntN(max(1, m.jobs))
	id := fmt.Sprintf("%016x", n+1)
	key, ok := m.accepted[id]
	return id, key, ok
}

func (m *movers) submit(d *Daemon) {
	c := d.config.Load()
	if len(c.Queues) == 0 {
		return
	}
	m.jobs++
	id, key := fmt.Sprintf("%016x", m.jobs), assignment.KeyOf(&c.Queues[m.rng.IntN(len(c.Queues))])
	switch status := m.call(d, http.MethodPost, id, key); status {
	case http.StatusOK:
		m.accepted[id] = key
		if at := m.at(id); len(at) != 1 {
			m.failf("accepted job %s is at %v", id, at)
		}
	case http.StatusServiceUnavailable:
		if at := m.at(id); len(at) > 0 {
			m.failf("refused job %s is at %v", id, at)
		}
	case http.StatusGatewayTimeout:
	default:
		m.failf("job %s was answered with %d", id, status)
	}
}

// again makes a call about an accepted job.
func (m *movers) again(d *Daemon, method string) {
	id, key, ok := m.anyJob()
	if !ok {
		return
	}
	before := m.at(id)
	switch status := m.call(d, method, id, key); {
	case status == http.StatusNotFound:
		if _, known := queueAt(d.config.Load(), key); known {
			m.failf("%s of job %s: no such queue", method, id)
		}
	case status == http.StatusOK && method == http.MethodDelete:
		m.deleted[id] = true
	case status == http.StatusOK, status == http.StatusServiceUnavailable:
	default:
		m.failf("%s of job %s at %v was answered with %d", method, id, before, status)
	}
	if at := m.at(id); len(at) != 1 {
		m.failf("job %s is at %v", id, at)
	}
}

// reconcile lets the owner of a service compare its jobs with the assignments of their queues.
func (m *movers) reconcile() {
	service := m.services[m.rng.IntN(len(m.services))]
	m.notef("reconciliation of %s", service)
	d := m.owners[service]
	r := d.runners[service]
	if err := d.readAssignments(m.t.Context()); err != nil {
		return
	}
	if queues, ok := r.queues(m.t.Context()); ok {
		d.listJobsElsewhere(m.t.Context(), d.config.Load(), r, queues)
		d.dropFormer(m.t.Context(), d.config.Load(), r, queues)
	}
}

func (m *movers) step() {
	d := m.entries[m.rng.IntN(len(m.entries))]
	switch n := m.rng.IntN(100); {
	case n < 8:
		m.configure()
	case n < 20:
		d.config.Store(m.newest)
	case n < 24:
		m.owners[m.services[m.rng.IntN(len(m.services))]].config.Store(m.newest)
	case n < 28:
		m.takeOver(m.services[m.rng.IntN(len(m.services))])
	case n < 33:
		m.reconcile()
	case n < 55:
		m.submit(d)
	case n < 70:
		m.again(d, http.MethodPost)
	case n < 90:
		m.again(d, http.MethodGet)
	default:
		m.again(d, http.MethodDelete)
	}
}

// Guards against jobs that are lost, run twice, or can't be cancelled, since their queue has gone to another service (review/6): by any
// series of versions, which daemons apply at different times, beside changes of the owners.
func TestQueuesMoveBetweenServices(t *testing.T) {
	for seed := *moveFirst; seed < *moveFirst+uint64(*moveSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newMovers(t, seed)
			for range moveSteps {
				m.step()
			}
			for id := range m.deleted {
				service := m.at(id)[0]
				r := m.owners[service].runners[service]
				a, err := m.owners[service].callLocal(t.Context(), r, call{id: id, method: http.MethodGet}, nil)
				m.is.NoErr(err)
				if a.State != cuminstair.JobCancelled {
					m.failf("cancelled job %s is %s at %s", id, a.State, service)
				}
			}
			if len(m.accepted) == 0 {
				t.Fatal("no job was accepted")
			}
		})
	}
}

// countedStore counts the calls of a store.
type countedStore struct {
	*conditionalStore
	calls int
}

// Commit implements cuminstair.RecordStore.
func (s *countedStore) Commit(ctx context.Context, tx cuminstair.Tx) (uint64, error) {
	s.calls++
	return s.conditionalStore.Commit(ctx, tx)
}

// Read implements cuminstair.RecordStore.
func (s *countedStore) Read(ctx context.Context, table, part, from, to string) ([]cuminstair.Record, uint64, error) {
	s.calls++
	return s.conditionalStore.Read(ctx, table, part, from, to)
}

// Guards against calls to the store for queues that nobody uses, of which a configuration may have thousands, and for queues that have not
// moved.
func TestAssignmentsOfManyQueuesAreWrittenOnDemand(t *testing.T) {
	is := is.New(t)
	d := newForwarder(t)
	store := &countedStore{conditionalStore: &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}}
	d.Store = store
	for version := int64(1); version <= 3; version++ {
		c := &cuminstair.JobConfig{Version: version}
		for i := range 2000 {
			c.Queues = append(c.Queues, cuminstair.WorkQueue{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Service: "s"})
		}
		d.applyConfig(c)
		store.calls = 0
		d.assignAhead(t.Context(), c)
		is.Equal(store.calls, 4) // reads all records
		for range 100 {
			_, err := d.assign(t.Context(), c.Queues[7], version, false)
			is.NoErr(err)
		}
		is.True(version == 1 || store.calls == 4)
		is.True(version > 1 || store.calls == 6) // reads the record, and writes it
	}
}

// Guards against submissions that a daemon refuses, or keeps waiting, since it is cut off from the store when the first job of a queue
// comes.
func TestAssignmentsOfFewQueuesAreWrittenAhead(t *testing.T) {
	is := is.New(t)
	store := &countedStore{conditionalStore: &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}}
	c := &cuminstair.JobConfig{Version: 4}
	for i := range 120 {
		c.Queues = append(c.Queues, cuminstair.WorkQueue{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Service: "s"})
	}
	for range 2 {
		d := newForwarder(t)
		d.Store = store
		d.applyConfig(c)
		d.assignAhead(t.Context(), c)
		calls := store.calls
		for _, q := range c.Queues {
			_, err := d.assign(t.Context(), q, c.Version, false)
			is.NoErr(err)
		}
		is.Equal(store.calls, calls)
	}
	is.Equal(len(store.rows), len(c.Queues))
}
