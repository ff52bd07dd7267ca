// Command fakeupstream is a stand-in for an upstream. It serves HTTP with a limited number of slots and connections.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/timer"
)

// forgetInterval is how often the counts of requests by id and by path are cleared, which bounds their memory. Only
// tests in the same process read them.
const forgetInterval = time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fakeupstream:", err)
		os.Exit(1)
	}
}

func run() error {
	addr := flag.String("listen", "127.0.0.1:0", "IP address and port to listen on")
	slots := flag.Int("slots", instance.DefaultSlots, "maximum number of requests that run at once")
	conns := flag.Int("conns", instance.DefaultConns, "maximum number of open connections")
	delay := flag.Duration("delay", 0, "time that each request takes")
	flag.Parse()

	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	clock := timer.New()
	go func() { _ = clock.Run(ctx) }()
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", *addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &instance.Server{Timer: clock, Slots: *slots, Conns: *conns}
	s.SetFaults(instance.Faults{Delay: *delay})
	clock.Every(forgetInterval, func(time.Time) { s.Forget() })
	context.AfterFunc(ctx, func() { _ = s.Close() })
	fmt.Println("listening on", l.Addr())
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
