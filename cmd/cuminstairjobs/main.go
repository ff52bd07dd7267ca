// Command cuminstairjobs is the entry daemon of the job path on the users' platform.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/entry"
	"cuminstair.org/cuminstair/logsink"
	"cuminstair.org/cuminstair/platform"
	"cuminstair.org/cuminstair/timer"
)

// Timeouts of calls, and settings of the garbage collector.
const (
	storeTimeout  = 1500 * time.Millisecond
	workerTimeout = 800 * time.Millisecond
	hostsTimeout  = 1200 * time.Millisecond
	adviceTimeout = 2 * time.Second // longer than the other timeouts, because a call may wait for earlier calls
	// defaultMetricsPort is the port in deploy/system.toml.
	defaultMetricsPort = 9464
	memoryLimitShare   = 0.5 // soft limit of the garbage collector, as a share of the memory limit of the process
	gcPercent          = 200 // above the default of 100: an owner allocates most in a load peak, when CPU time is short
)

func main() {
	app := &cli.App{
		Name:  "cuminstairjobs",
		Usage: "entry daemon for jobs on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", EnvVars: []string{platform.SettingsEnv}},
			&cli.IntFlag{Name: "metrics", Usage: "`PORT` of the metrics at /metrics; 0: none", Value: defaultMetricsPort},
			&cli.StringFlag{Name: "log", Usage: "log `LEVEL`: debug, info, warn or error", Value: "info"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and end"},
		},
		Action:          run,
		Commands:        []*cli.Command{explainCommand(), previewCommand()},
		HideHelpCommand: true,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cuminstairjobs:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	if c.String("settings") == "" {
		return cli.Exit("settings: no file: use --settings or "+platform.SettingsEnv, 2)
	}
	s, err := platform.LoadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		return nil
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := newLog(c.String("log"), sink)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	go handleSIGHUP(c.String("settings"), log)
	clock := timer.New()
	clockCtx, stopClock := context.WithCancel(context.Background())
	defer stopClock()
	go func() { _ = clock.Run(clockCtx) }()
	metrics := entry.NewMetrics(prometheus.DefaultRegisterer)
	client := platform.NewClient(func(string) { metrics.Connections.Inc() })
	d := &entry.Daemon{
		Settings: s, Log: log, Timer: clock, Metrics: metrics,
		Store:   &platform.Store{Client: client, Addr: s.Store, Timeout: storeTimeout},
		Workers: &platform.Workers{Client: client, Timeout: workerTimeout},
	}
	if port := c.Int("metrics"); port > 0 {
		d.MetricsAddr = net.JoinHostPort(s.Address, strconv.Itoa(port))
	}
	if s.Hosts != "" {
		d.Hosts = &platform.Hosts{Client: client, Addr: s.Hosts, Timeout: hostsTimeout}
	}
	if s.Advice != "" {
		d.Adviser = &platform.Adviser{Client: client, Addr: s.Advice, Timeout: adviceTimeout}
	}
	return d.Run(ctx)
}

func newLog(level string, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "cuminstairjobs", Level: hclog.LevelFromString(level), Output: out, JSONFormat: true,
	})
}

// handleSIGHUP reads and checks the settings file on each SIGHUP and logs the result. It applies no setting: the daemon
// keeps the values from its start.
func handleSIGHUP(path string, log hclog.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	for range hups {
		if _, err := platform.LoadSettings(path); err != nil {
			log.Error("main: settings were not reloaded", "file", path, "error", err)
			continue
		}
		log.Info("main: settings reloaded", "file", path)
	}
}
