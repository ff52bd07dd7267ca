package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/experiment"
)

// options are the checked options of the command.
type options struct {
	loads    []*experiment.Load
	policies []experiment.Policy // the first is the one that is compared with the others
	seed     uint64
	days     int
	json     bool
	windows  bool
	svg      string
}

// maxDays bounds the days of one run, which may take a minute each.
const maxDays = 1000

const errUsage = errors.ConstError("see --help")

// parseOptions checks the options in one place.
func parseOptions(c *cli.Context) (*options, error) {
	o := &options{seed: c.Uint64("seed"), days: c.Int("days"), json: c.Bool("json"), windows: c.Bool("windows"), svg: c.String("svg")}
	if !c.Args().Present() {
		return nil, fmt.Errorf("no load file: %w", errUsage)
	}
	if o.days < 1 || o.days > maxDays {
		return nil, fmt.Errorf("--days %d: from 1 to %d: %w", o.days, maxDays, errUsage)
	}
	names := []string{c.String("policy")}
	switch against := c.String("against"); against {
	case "":
	case "all":
		for _, p := range experiment.Policies() {
			if p.Name != names[0] {
				names = append(names, p.Name)
			}
		}
	default:
		names = append(names, strings.Split(against, ",")...)
	}
	for _, name := range names {
		p, err := experiment.PolicyNamed(name)
		if err != nil {
			return nil, fmt.Errorf("--policy or --against: %w", err)
		}
		o.policies = append(o.policies, p)
	}
	for _, file := range c.Args().Slice() {
		l, err := readLoad(file)
		if err != nil {
			return nil, err
		}
		if err := changeLoad(c, l); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		o.loads = append(o.loads, l)
	}
	return o, nil
}

// changeLoad applies the options that change a load, and checks it.
func changeLoad(c *cli.Context, l *experiment.Load) error {
	for i := range l.Queues {
		l.Queues[i].Rate *= c.Float64("rate")
	}
	if c.IsSet("seconds") {
		l.Seconds = c.Float64("seconds")
	}
	for _, text := range c.StringSlice("fault") {
		f, err := parseFault(text)
		if err != nil {
			return err
		}
		l.Faults = append(l.Faults, f)
	}
	if err := l.Validate(); err != nil {
		return fmt.Errorf("with the options given: %w", err)
	}
	return nil
}

// parseFault parses a fault like rack,10,6,POOL,4 or centre,10,6,CENTRE or store,10,4.
func parseFault(text string) (f experiment.Fault, err error) {
	fields := strings.Split(text, ",")
	want := map[string]int{experiment.FaultRack: 5, experiment.FaultCentre: 4, experiment.FaultStore: 3, experiment.FaultDaemons: 3}
	if len(fields) != want[fields[0]] {
		return f, fmt.Errorf("--fault %q: want rack,AT,SECONDS,POOL,COUNT, centre,AT,SECONDS,CENTRE, store,AT,SECONDS or daemons,AT,SECONDS: %w",
			text, errUsage)
	}
	f.Kind = fields[0]
	for i, into := range []*float64{&f.At, &f.Seconds} {
		if *into, err = strconv.ParseFloat(fields[i+1], 64); err != nil {
			return f, fmt.Errorf("--fault %q: %w", text, err)
		}
	}
	switch f.Kind {
	case experiment.FaultRack:
		f.Pool = fields[3]
		if f.Count, err = strconv.Atoi(fields[4]); err != nil {
			return f, fmt.Errorf("--fault %q: %w", text, err)
		}
	case experiment.FaultCentre:
		f.Centre = fields[3]
	default:
	}
	return f, nil
}

// readLoad reads a load file, which is JSON with comments.
func readLoad(file string) (*experiment.Load, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read load: %w", err)
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	dec := json.NewDecoder(strings.NewReader(string(plain)))
	dec.DisallowUnknownFields()
	l := &experiment.Load{}
	if err := dec.Decode(l); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return l, nil
}
