package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/instance"
)

const (
	callers = 200
	rounds  = 25 // requests of each caller
	seed    = 7
)

// faultNames are the faults that a request can ask an instance for. With "leave" the caller cancels its request. Most
// entries leave the answer intact, so that connections are reused.
var faultNames = []string{"", "", "", "", "", "delay=2ms", "delay=1ms", "wrong", "truncate", "extra", "refuse", "leave"}

// callerGroup is a group of callers of one daemon, whose requests fail in all the ways of faultNames.
type callerGroup struct {
	t         *testing.T
	client    *http.Client
	url       string
	instances []*instance.Server
	ids       sync.Map // ids of answers
	outcomes  [3]atomic.Int64
}

// Guards against an answer that belongs to another caller, is truncated or is delivered twice, and against the outcome
// "notrun" for a request that ran. Answers are late, out of order, cancelled and truncated on reused connections.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	clock := realClock(t)
	c := &callerGroup{t: t, client: newClient(t, callers)}
	var addrs []string
	for range 4 {
		s := &instance.Server{Timer: clock}
		c.instances = append(c.instances, s)
		addrs = append(addrs, serve(t, s))
	}
	d := start(t, loadSettings(t, addrs, `"wait": "0s"`), clock, nil)
	c.url = d.url
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { c.call(i) })
	}
	wg.Wait()
	is.True(c.outcomes[0].Load() > callers*rounds/2) // done
	is.True(c.outcomes[1].Load() > 0)                // not run
	is.True(c.outcomes[2].Load() > 0)                // unknown
	d.stop()
	is.NoErr(<-d.ended)
	is.Equal(len(d.Decisions().Loads()), 0) // every slot was released
	for _, s := range c.instances {
		is.Equal(s.Repeated(), nil) // no request ran twice
		is.Equal(s.Shed(), 0)
	}
}

// call runs one caller. The choices depend only on the seed and the caller's number.
func (c *callerGroup) call(caller int) {
	choices := rand.New(rand.NewPCG(seed, uint64(caller)))
	for round := range rounds {
		fault := faultNames[choices.IntN(len(faultNames))]
		size := choices.IntN(3000) + 1
		body := strings.Repeat(fmt.Sprintf("%d/%d ", caller, round), size/8+1)
		ctx, cancel := context.WithCancel(context.Background())
		if fault == "leave" {
			go cancel()
		}
		kind := "portion"
		if choices.IntN(4) == 0 {
			kind = "convert" // idempotent, though no retry budget allows a second attempt
		}
		answer, err := post(ctx, c.client, c.url, kind, fault, body)
		cancel()
		if err != nil {
			if fault != "leave" {
				c.t.Errorf("caller %d round %d fault %q: %v", caller, round, fault, err)
			}
			continue
		}
		c.checkAnswer(fault, body, answer)
	}
}

func (c *callerGroup) checkAnswer(fault, body string, answer *reply) {
	id := answer.header.Get("Request")
	if _, again := c.ids.LoadOrStore(id, true); again {
		c.t.Errorf("answer %s was delivered twice", id)
	}
	runs := 0
	for _, s := range c.instances {
		runs += s.Runs(id)
	}
	switch answer.header.Get("Outcome") {
	case "done":
		c.outcomes[0].Add(1)
		if answer.body != body || runs != 1 || answer.status != http.StatusOK {
			c.t.Errorf("answer %s: %d bytes instead of %d, %d runs, status %d", id, len(answer.body), len(body), runs, answer.status)
		}
	case "notrun":
		c.outcomes[1].Add(1)
		if runs != 0 {
			c.t.Errorf("answer %s: reported as not run, but ran", id)
		}
	default:
		c.outcomes[2].Add(1)
		if fault == "truncate" && answer.header.Get("Reason") != "broken" {
			c.t.Errorf("answer %s: reason %s", id, answer.header.Get("Reason"))
		}
	}
}
