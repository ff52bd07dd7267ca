package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/standin/local"
)

// maxTries bounds the attempts of a request under its ticket.
const maxTries = 4

// requestRecord is one request of a customer with the results of its attempts.
type requestRecord struct {
	path     string
	kind     string
	ticketed bool
	outcomes []string // outcome of each attempt; "cut" for a broken connection
	reasons  []string
}

func (e *requestRecord) lastOutcome() string { return e.outcomes[len(e.outcomes)-1] }

// customers send requests through any ready daemon, as behind the platform's load balancer. Half of the requests are
// under tickets. A request under a ticket that did not end as done is repeated through another daemon.
type customers struct {
	s    *local.System
	http *http.Client
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	records []*requestRecord
}

func startCustomers(t *testing.T, s *local.System, count int) *customers {
	t.Helper()
	c := &customers{s: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}}, stop: make(chan struct{})}
	for i := range count {
		c.wg.Go(func() { c.run(i) })
	}
	t.Cleanup(c.end)
	return c
}

func (c *customers) run(customer int) {
	for i := 0; ; i++ {
		passed := make(chan struct{})
		c.s.Timer.After(requestInterval, func(time.Time) { close(passed) })
		select {
		case <-c.stop:
			return
		case <-passed:
		}
		e := &requestRecord{path: fmt.Sprintf("customer%d-%d", customer, i), kind: []string{"order", "order", "measure"}[i%3], ticketed: i%2 == 0}
		c.sendWithRepeats(e, customer+i)
		c.mu.Lock()
		c.records = append(c.records, e)
		c.mu.Unlock()
	}
}

// sendWithRepeats sends one request and, under a ticket, repeats it while it is not known to be done.
func (c *customers) sendWithRepeats(e *requestRecord, n int) {
	ticket := ""
	for try := range maxTries {
		d := c.pickDaemon(n + try)
		if d == nil {
			e.outcomes = append(e.outcomes, "none")
			return
		}
		if e.ticketed && ticket == "" {
			var err error
			if ticket, err = c.ticket(d); err != nil {
				e.outcomes, e.reasons = append(e.outcomes, "cut"), append(e.reasons, err.Error())
				return
			}
		}
		outcome, reason := c.send(d, e, ticket)
		e.outcomes, e.reasons = append(e.outcomes, outcome), append(e.reasons, d.Name+": "+reason)
		if !e.ticketed || outcome == "done" {
			return
		}
	}
}

func (c *customers) pickDaemon(n int) *local.Daemon {
	list := c.s.Running()
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

func (c *customers) ticket(d *local.Daemon) (string, error) {
	resp, err := c.http.Post(d.Callers()+"/tickets?count=1", "", nil)
	if err != nil {
		return "", fmt.Errorf("ask %s for a ticket: %w", d.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ Tickets []string }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || len(out.Tickets) == 0 {
		return "", fmt.Errorf("%s: status %d: %w", d.Name, resp.StatusCode, errNoTicket)
	}
	return out.Tickets[0], nil
}

const errNoTicket = errors.ConstError("no ticket")

func (c *customers) send(d *local.Daemon, e *requestRecord, ticket string) (outcome, reason string) {
	got, h, err := askWith(c.http, d.Callers(), "/s/convert/"+e.path, e.kind, ticket, e.path)
	switch {
	case err != nil:
		return "cut", err.Error()
	case h.Get("Outcome") == "done" && got != e.path:
		return "wrong", got
	default:
		return h.Get("Outcome"), h.Get("Reason")
	}
}

func (c *customers) end() {
	c.mu.Lock()
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.mu.Unlock()
	c.wg.Wait()
	c.http.CloseIdleConnections()
}

// finished returns the number of requests that have ended.
func (c *customers) finished() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

// runs returns how often the request ran.
func (c *customers) runs(e *requestRecord) int {
	total := 0
	for _, i := range c.s.Instances {
		total += i.PathRuns("/" + e.path)
	}
	return total
}

// check compares the outcomes that the customers got with the records of the instances and returns the number of attempts
// with each outcome.
func (c *customers) check(t *testing.T) map[string]int {
	t.Helper()
	counts := map[string]int{}
	faults := 0
	for _, e := range c.records {
		for _, o := range e.outcomes {
			counts[o]++
		}
		runs := c.runs(e)
		bad := ""
		switch {
		case e.kind == "order" && runs > 1:
			bad = "ran more than once"
		case e.lastOutcome() == "done" && runs == 0:
			bad = "was reported as done but did not run"
		case e.lastOutcome() == "notrun" && runs > 0:
			bad = "was reported as not run but ran"
		case e.lastOutcome() == "wrong":
			bad = "got the answer of another request"
		}
		if bad != "" && faults < 10 {
			faults++
			t.Errorf("%s: %d runs, %+v", bad, runs, *e)
		}
	}
	t.Logf("%d requests, outcomes of attempts %v", len(c.records), counts)
	return counts
}

// replaceAll ends each daemon and starts it again under the same name.
func replaceAll(t *testing.T, s *local.System, c *customers, end func(d *local.Daemon) error) {
	t.Helper()
	is := is.New(t)
	for _, name := range []string{"c1-e1", "c1-e2", "c2-e1"} {
		d := s.Daemons[name]
		is.NoErr(s.Await(func() bool { return busy(s) }))
		is.NoErr(end(d))
		next, err := s.StartDaemon(name, d.Centre)
		is.NoErr(err)
		is.NoErr(s.Await(func() bool { return next.Node.Ready() == nil }))
		before := c.finished()
		is.NoErr(s.Await(func() bool { return c.finished() > before+200 }))
	}
}

// slowDown delays all answers, so that some requests are in flight at any moment.
func slowDown(s *local.System) {
	for _, i := range s.Instances {
		i.SetFaults(instance.Faults{Delay: 30 * time.Millisecond})
	}
}

// busy reports whether at least 6 requests are in flight, so that the daemon that is ended next probably has some.
func busy(s *local.System) bool {
	used := 0
	for _, i := range s.Instances {
		used += i.Used()
	}
	return used >= 6
}

// Guards against a planned stop that cuts off a request, loses a ticket or lets a request run twice.
func TestReplaceAllDaemons(t *testing.T) {
	s := startSystem(t)
	slowDown(s)
	c := startCustomers(t, s, 8)
	replaceAll(t, s, c, (*local.Daemon).Stop)
	c.end()
	counts := c.check(t)
	shown := 0
	for _, e := range c.records {
		for i, o := range e.outcomes {
			if o != "done" && shown < 10 {
				shown++
				t.Logf("%s: %+v", e.reasons[i], *e)
			}
		}
	}
	is := is.New(t)
	is.Equal(counts["cut"], 0)
	is.Equal(counts["none"], 0)
	is.True(counts["done"] > 100)
}

// Guards against a second run of a request, or the outcome "notrun" for a request that ran, when daemons are killed.
func TestKillAllDaemons(t *testing.T) {
	s := startSystem(t)
	slowDown(s)
	c := startCustomers(t, s, 8)
	replaceAll(t, s, c, (*local.Daemon).Kill)
	c.end()
	counts := c.check(t)
	is.New(t).True(counts["done"] > 100)
}
