// Command cuminstaird is the entry daemon.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/node"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/timer"
)

func main() {
	app := &cli.App{
		Name:            "cuminstaird",
		Usage:           "entry daemon between callers and upstreams",
		Flags:           flags(),
		Action:          run,
		HideHelpCommand: true,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cuminstaird:", err)
		os.Exit(1)
	}
}

// flags returns the flag that names the settings file and one flag for each field of that file.
func flags() []cli.Flag {
	list := []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}}
	for _, name := range settings.Names() {
		list = append(list, &cli.StringFlag{Name: name, Usage: "overrides the field of the settings file"})
	}
	return list
}

func run(c *cli.Context) error {
	overrides := map[string]string{}
	for _, name := range settings.Names() {
		if c.IsSet(name) {
			overrides[name] = c.String(name)
		}
	}
	s, err := settings.Load(c.String("settings"), overrides)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "cuminstaird", Level: hclog.LevelFromString(s.Log), Output: os.Stderr})
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	clock := timer.New()
	clockCtx, stopClock := context.WithCancel(context.Background())
	defer stopClock()
	go func() { _ = clock.Run(clockCtx) }()
	seed := uint64(clock.Now().UnixNano())
	n := &node.Node{Settings: s, Log: log, Timer: clock, Rand: rand.New(rand.NewPCG(seed, uint64(os.Getpid())))}
	return n.Run(ctx)
}
