// Command measure prints the figures that docs/CAPACITY.md quotes, and generates fleet files of any size.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

// subject is a group of figures with its own sub-command.
type subject struct {
	name  string
	usage string
	run   func(ctx context.Context, r *report) error
}

// subjects lists all groups in printing order.
var subjects = []subject{
	{"route", "routing cost and memory against upstreams", measureRoute},
	{"member", "membership bytes against entry hosts", measureMember},
	{"health", "active checks against hosts and entry hosts", measureHealth},
	{"config", "configuration bytes, time in force and work for each change", measureConfig},
	{"table", "reads and writes of the table service, and bytes to and from the platform", measureTable},
	{"wave", "planner work and maintenance against hosts and pools", measureWave},
	{"job", "placement against workers, teams and queued jobs", measureJob},
	{"ticket", "tickets against request rate", measureTicket},
	{"memory", "memory of a daemon's state against hosts", measureMemory},
	{"sum", "bytes, processor time and memory of one entry daemon at 28,000 hosts", measureSum},
}

func main() {
	if err := newApp().Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func newApp() *cli.App {
	app := &cli.App{
		Name:   "measure",
		Usage:  "print the figures that docs/CAPACITY.md quotes; without a command, all of them",
		Action: runAll,
		Commands: []*cli.Command{{
			Name:  "fleet",
			Usage: "print a generated fleet file",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "hosts", Value: fleet.Large.Hosts, Usage: "number of hosts, from 50"},
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the same seed and size give the same file"},
			},
			Action: func(c *cli.Context) error { return printFleet(c.App.Writer, c.Int("hosts"), c.Uint64("seed")) },
		}},
	}
	for _, s := range subjects {
		app.Commands = append(app.Commands, &cli.Command{
			Name: s.name, Usage: s.usage,
			Action: func(c *cli.Context) error { return runSubject(c, s) },
		})
	}
	return app
}

func runAll(c *cli.Context) error {
	if c.Args().Present() {
		return fmt.Errorf("unknown command %q; --help lists the commands", c.Args().First())
	}
	figures := map[string]float64{}
	for _, s := range subjects {
		if err := s.print(c.Context, c.App.Writer, figures); err != nil {
			return err
		}
	}
	return nil
}

// runSubject prints one subject. The subject sum needs the figures of all others, so these are measured first and their
// output is discarded.
func runSubject(c *cli.Context, s subject) error {
	figures := map[string]float64{}
	if s.name == "sum" {
		for _, other := range subjects[:len(subjects)-1] {
			if err := other.print(c.Context, io.Discard, figures); err != nil {
				return err
			}
		}
	}
	return s.print(c.Context, c.App.Writer, figures)
}

func (s subject) print(ctx context.Context, out io.Writer, figures map[string]float64) error {
	r := &report{out: out, figures: figures}
	r.printf("== %s: %s\n", s.name, s.usage)
	if err := s.run(ctx, r); err != nil {
		return fmt.Errorf("measure %s: %w", s.name, err)
	}
	r.printf("\n")
	return nil
}

// minHosts is the smallest fleet that is generated. The pools of smaller ones have too few hosts in each data centre.
const minHosts = 50

// sizeOf returns the shape of a fleet with the given number of hosts. Up to 1,000 hosts it has the proportions of the
// two small fleets. Above, it has those of fleet.Large, but with fewer pools if a pool would otherwise have fewer than 14
// hosts in each data centre.
func sizeOf(hosts int) fleet.Size {
	if hosts <= 1000 {
		return fleet.Size{Hosts: hosts, Pools: 5, Teams: 10, Centres: 3, Regions: 1, Rack: 4}
	}
	size := fleet.Large
	size.Hosts = hosts
	size.Pools = min(max(hosts/100, 5), size.Pools)
	return size
}

// downBudgets are the values of Budget.Down to try for a generated fleet, which gets the first one under which its waves
// can finish. Small pools need a larger value.
var downBudgets = []float64{0.2, 0.34, 0.5, 0.67}

// generateSeed generates a fleet that fleet.Check accepts. The same size and seed give the same fleet.
func generateSeed(hosts int, seed uint64) (f *cuminstair.Fleet, err error) {
	f = fleet.Generate(rand.New(rand.NewPCG(seed, 1)), sizeOf(hosts))
	for _, down := range downBudgets {
		for i := range f.Services {
			f.Services[i].Budget.Down = down
		}
		if err = fleet.Check(f); err == nil {
			return f, nil
		}
	}
	return nil, fmt.Errorf("generate a fleet of %d hosts: %w", hosts, err)
}

func printFleet(out io.Writer, hosts int, seed uint64) error {
	if hosts < minHosts {
		return fmt.Errorf("--hosts %d: at least %d are needed", hosts, minHosts)
	}
	f, err := generateSeed(hosts, seed)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	if err := enc.Encode(f); err != nil {
		return fmt.Errorf("write fleet file: %w", err)
	}
	return nil
}
