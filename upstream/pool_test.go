package upstream_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against more connections than the share of the daemon allows, and against requests that never get a
// connection.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.sender.Share = 0.25
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			_, result := r.send(context.Background(), request(fmt.Sprint("r", i), "body"))
			is.Equal(result.Outcome, cuminstair.OutcomeDone)
		})
	}
	wg.Wait()
	is.True(r.instance.Open() <= 14) // a quarter of 64 connections, two of which are kept for checks
	is.Equal(r.instance.Shed(), 0)
	is.Equal(r.sender.Inflight(r.upstream.Addr), 0)
}

// Guards against a cancelled request that still waits for a connection or gets an outcome other than "not run".
func TestCancelled(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, result := r.send(ctx, request("r1", "body"))
	is.Equal(result.Outcome, cuminstair.OutcomeNotRun)
	is.Equal(r.instance.Runs("r1"), 0)
}

// Guards against unused connections that stay open after Run has ended.
func TestIdleLimit(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.sender.Run(ctx) }()
	_, result := r.send(context.Background(), request("r1", "body"))
	is.Equal(result.Outcome, cuminstair.OutcomeDone)
	cancel()
	is.NoErr(<-done)
	is.Equal(r.sender.Unused(r.upstream.Addr), 0)
	r.clock.Advance(time.Hour)
}
