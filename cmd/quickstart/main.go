// Command quickstart demonstrates cuminstair in one process. It starts two data centres with entry daemons and
// instances, and a stand-in for the platform. It applies a fleet and sends requests that are served, explained,
// repeated and refused.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair/standin/local"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "quickstart")
	if err != nil {
		return fmt.Errorf("create a directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &local.System{
		Dir:     dir,
		Centres: []local.Centre{{Name: "north", Daemons: 2, Hosts: 4}, {Name: "south", Daemons: 1, Hosts: 4}},
		Log:     hclog.New(&hclog.LoggerOptions{Level: hclog.Error}),
		Seed:    1,
	}
	defer s.Stop()
	if err := s.Start(ctx); err != nil {
		return fmt.Errorf("start the system: %w", err)
	}
	fmt.Println("started 3 entry daemons in 2 data centres, 8 instances and the stand-in for the platform")
	t := &demo{system: s}
	for _, step := range []func(context.Context) error{t.apply, t.serve, t.repeat, t.sendUnknownKind, t.stopHome} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}
