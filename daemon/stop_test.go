package daemon_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/caller"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/timer"
)

// stopTest is a daemon with requests in flight. Both clocks are virtual and advanced by the test.
type stopTest struct {
	clock    *timer.Virtual // of the daemon
	work     *timer.Virtual // of the instance
	instance *instance.Server
	*running
	replies chan *reply
}

const inflight = 7 // requests in flight; one slot of the instance is left

func newStopTest(t *testing.T, change func(d *daemon.Daemon)) *stopTest {
	t.Helper()
	r := &stopTest{
		clock:   timer.NewVirtual(time.Unix(1000, 0)),
		work:    timer.NewVirtual(time.Unix(1000, 0)),
		replies: make(chan *reply, inflight),
	}
	r.instance = &instance.Server{Timer: r.work, Waiting: make(chan struct{})}
	s := loadSettings(t, []string{serve(t, r.instance)}, `"wait": "1s", "stop": "20m"`)
	r.running = start(t, s, r.clock, change)
	client := newClient(t, inflight)
	for range inflight {
		go func() {
			answer, err := post(context.Background(), client, r.url, "portion", "delay=1s", "own body")
			if err != nil {
				t.Log(err)
			}
			r.replies <- answer
		}()
	}
	for range inflight {
		<-r.instance.Waiting
	}
	return r
}

// beginStop begins a planned stop and waits until the daemon is unready.
func (r *stopTest) beginStop() {
	r.stop()
	for r.Ready() == nil {
		runtime.Gosched()
	}
}

// awaitClosed waits until the callers' listener is closed.
func (r *stopTest) awaitClosed() {
	for {
		c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		if err != nil {
			return
		}
		_ = c.Close()
		runtime.Gosched()
	}
}

// Guards against a planned stop that cuts off requests in flight, refuses requests before the load balancer has seen
// that the daemon is unready, or hands over outcomes before the last request has ended.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	var endedAtHandOver int // requests that had ended at the hand-over
	var r *stopTest
	r = newStopTest(t, func(d *daemon.Daemon) {
		d.HandOver = func(context.Context) error {
			endedAtHandOver = r.instance.Total() - r.instance.Used()
			return nil
		}
	})
	r.beginStop()
	resp, err := http.Get(r.url + "/ready")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	answer, err := post(context.Background(), newClient(t, 1), r.url, "portion", "", "late body")
	is.NoErr(err)
	is.Equal(answer.body, "late body")

	r.clock.Advance(time.Second)
	for !r.Stopping() {
		runtime.Gosched()
	}
	r.awaitClosed()
	r.clock.Advance(caller.IdleGrace) // ends the connections that the client opened and does not use
	is.Equal(len(r.ended), 0)
	is.Equal(r.instance.Used(), inflight)
	r.work.Advance(time.Second)
	for range inflight {
		answer := <-r.replies
		is.True(answer != nil)
		is.Equal(answer.header.Get("Outcome"), "done")
		is.Equal(answer.body, "own body")
	}
	is.NoErr(<-r.ended)
	is.Equal(endedAtHandOver, inflight+1)
}

// Guards against a stop that never ends, or that reports success although it cut off requests.
func TestStopBound(t *testing.T) {
	is := is.New(t)
	r := newStopTest(t, nil)
	r.beginStop()
	r.clock.Advance(20 * time.Minute)
	is.True(errors.Is(<-r.ended, daemon.ErrStopTimeout))
}
