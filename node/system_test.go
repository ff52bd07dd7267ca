package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/local"
)

// startSystem starts two data centres and applies a fleet. Each data centre has 7 instances, half of which may be down,
// so the budget allows one host to be down besides the reserve for a rack of two.
func startSystem(t *testing.T) *local.System {
	t.Helper()
	s := newSystem(t)
	is := is.New(t)
	is.NoErr(s.Start(context.Background()))
	apply(t, s, s.Fleet())
	return s
}

// apply applies a first fleet and waits until it is in force.
func apply(t *testing.T, s *local.System, f *cuminstair.Fleet) {
	t.Helper()
	is := is.New(t)
	a, err := local.NewApplyRequest(f, 0)
	is.NoErr(err)
	accepted, err := s.Daemons["c1-e1"].Operators().Apply(context.Background(), a)
	is.NoErr(err)
	is.Equal(accepted.Generation, uint64(1))
	is.NoErr(s.Ready())
}

func newSystem(t *testing.T) *local.System {
	t.Helper()
	s := &local.System{
		Dir:     t.TempDir(),
		Centres: []local.Centre{{Name: "c1", Daemons: 2, Hosts: 8}, {Name: "c2", Daemons: 1, Hosts: 8}},
		Log:     hclog.New(&hclog.LoggerOptions{Output: testLog{t}, Level: hclog.Warn}),
		Seed:    1,
	}
	t.Cleanup(s.Stop)
	return s
}

// testLog writes the log of the system to the test.
type testLog struct{ t *testing.T }

func (l testLog) Write(p []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

// ask sends one request and returns the body and the headers of its answer.
func ask(base, kind, body string) (string, http.Header, error) {
	return askWith(http.DefaultClient, base, "/s/convert/cups", kind, "", body)
}

// askWith sends one request to a path.
func askWith(client *http.Client, base, path, kind, ticket, body string) (string, http.Header, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		return "", nil, err
	}
	req.Header.Set("Team", "stylists")
	req.Header.Set("Kind", kind)
	req.Header.Set("Deadline", "4s")
	if ticket != "" {
		req.Header.Set("Ticket", ticket)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.Header, err
}

// Guards against an answer that reaches the wrong caller, and against a fleet that is not in force in every daemon.
func TestServeThroughEveryDaemon(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	var wg sync.WaitGroup
	errs := make(chan error, 300)
	for name, d := range s.Daemons {
		for i := range 100 {
			wg.Go(func() {
				want := fmt.Sprintf("%s request %d", name, i)
				got, h, err := ask(d.Callers(), []string{"measure", "order"}[i%2], want)
				if err != nil || got != want || h.Get("Outcome") != "done" {
					errs <- fmt.Errorf("%s: got %q, outcome %s, %s: %w", want, got, h.Get("Outcome"), h.Get("Reason"), err)
				}
			})
		}
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
	begin := s.Timer.Now()
	is.NoErr(s.Await(func() bool {
		force, err := s.Daemons["c2-e1"].Operators().Force(context.Background(), 1)
		return err == nil && len(force.Confirmed) == 3
	}))
	is.True(s.Timer.Now().Sub(begin) < cuminstair.ForceTarget)
}
