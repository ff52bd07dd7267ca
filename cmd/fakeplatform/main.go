// Command fakeplatform serves the stand-in for the platform (docs/platform.md) on one address. Its state is in memory.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
)

// headerTimeout bounds the time in which a client has to send the header of a request.
const headerTimeout = 5 * time.Second

func main() {
	app := &cli.App{
		Name:  "fakeplatform",
		Usage: "stand-in for the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "IP address and port"},
			&cli.StringFlag{Name: "fleet", Usage: "fleet file with the hosts of the platform"},
			&cli.DurationFlag{Name: "drain", Usage: "time that a host is listed as leaving before it goes down"},
			&cli.DurationFlag{Name: "reboot", Value: table.DefaultReboot, Usage: "time of a reboot"},
			&cli.DurationFlag{Name: "replace", Value: table.DefaultReplace, Usage: "time of a replacement"},
		},
		Action: serve,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fakeplatform:", err)
		os.Exit(1)
	}
}

func serve(c *cli.Context) error {
	clock := timer.New()
	service := &table.Service{
		Timer: clock, Drain: c.Duration("drain"), Reboot: c.Duration("reboot"), Replace: c.Duration("replace"),
	}
	if file := c.String("fleet"); file != "" {
		if err := loadHosts(service, file); err != nil {
			return err
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(c.Context, "tcp", c.String("listen"))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Println("fakeplatform: listening on", listener.Addr())
	return runAll(c.Context, clock, listener, service.Handler())
}

// loadHosts adds the hosts of a fleet file to the stand-in, each of them also as a worker.
func loadHosts(s *table.Service, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read fleet file: %w", err)
	}
	f, err := fleet.Parse(file, data)
	if err != nil {
		return err
	}
	for _, h := range f.Hosts {
		s.AddHosts(table.Host{Name: h.Name, Centre: h.Centre, Rack: h.Rack, Role: "upstream"})
		s.AddWorkers(table.Worker{
			Name: h.Name, Centre: h.Centre, Rack: h.Rack, Cores: h.Cores, Memory: h.Memory, Accel: h.Accel,
		})
	}
	return nil
}

func runAll(ctx context.Context, clock *timer.Service, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return clock.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	err := group.Run()
	var signalled run.SignalError
	if errors.As(err, &signalled) {
		return nil
	}
	return err
}
