package node_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/standin/local"
)

// repeat sends the request under the ticket through all the daemons at once and returns the outcomes.
func repeat(c *customers, e *requestRecord, ticket string, daemons ...*local.Daemon) []string {
	outcomes := make([]string, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() { outcomes[i], _ = c.send(d, e, ticket) })
	}
	wg.Wait()
	return outcomes
}

// Guards against a second run of a request that is repeated through other daemons while it runs, after it ended, after
// the home daemon of its ticket stopped and after that daemon was killed.
func TestRepeatEverywhere(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	for _, i := range s.Instances {
		i.SetFaults(instance.Faults{Delay: 300 * time.Millisecond})
	}
	c := &customers{s: s, http: &http.Client{}}
	first, second, third := s.Daemons["c1-e1"], s.Daemons["c1-e2"], s.Daemons["c2-e1"]

	e := &requestRecord{path: "stopped", kind: "order", ticketed: true}
	ticket, err := c.ticket(first)
	is.NoErr(err)
	is.Equal(repeat(c, e, ticket, first, second, third, second, third), []string{"done", "done", "done", "done", "done"})
	is.Equal(c.runs(e), 1)
	is.Equal(repeat(c, e, ticket, third, second, first), []string{"done", "done", "done"})
	is.NoErr(first.Stop())
	is.Equal(repeat(c, e, ticket, second, third), []string{"done", "done"})
	is.Equal(c.runs(e), 1)

	e = &requestRecord{path: "killed", kind: "order", ticketed: true}
	ticket, err = c.ticket(second)
	is.NoErr(err)
	is.Equal(repeat(c, e, ticket, third, second), []string{"done", "done"})
	is.NoErr(second.Kill())
	is.Equal(repeat(c, e, ticket, third, third), []string{"unknown", "unknown"})
	is.Equal(c.runs(e), 1)
}
