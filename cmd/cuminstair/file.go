package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

// generationLine matches the comment that fetch writes at the top of a fleet file, from which apply reads the generation
// that the file is based on.
var generationLine = regexp.MustCompile(`(?m)^// generation: ([0-9]+)$`)

// pollInterval is how often apply checks in which daemons the configuration is in force.
const pollInterval = 100 * time.Millisecond

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a fleet file without contacting a daemon",
		ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			name, text, err := readFile(c)
			if err != nil {
				return err
			}
			f, err := fleet.Parse(name, []byte(text))
			if err != nil {
				return fmt.Errorf("%s is invalid:\n%w", name, err)
			}
			fmt.Fprintf(c.App.Writer, "%s: %d data centres, %d pools, %d hosts, %d services, %d teams, %d waves: no faults\n",
				name, len(f.Centres), len(f.Pools), len(f.Hosts), len(f.Services), len(f.Teams), len(f.Waves))
			return nil
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a fleet file would change",
		ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			o, client, err := connect(c)
			if err != nil {
				return err
			}
			name, text, err := readFile(c)
			if err != nil {
				return err
			}
			lines, err := client.Difference(c.Context, name, text)
			if err != nil {
				return err
			}
			return printLines(c.App.Writer, o, lines)
		},
	}
}

func fetchCommand() *cli.Command {
	return &cli.Command{
		Name:  "fetch",
		Usage: "print the fleet file that is in force, with its generation as a comment",
		Action: func(c *cli.Context) error {
			_, client, err := connect(c)
			if err != nil {
				return err
			}
			current, err := client.Current(c.Context)
			if err != nil {
				return err
			}
			data, err := json.MarshalIndent(current.Fleet, "", "  ")
			if err != nil {
				return fmt.Errorf("encode the fleet: %w", err)
			}
			fmt.Fprintf(c.App.Writer, "// generation: %d\n%s\n", current.Generation, data)
			return nil
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a whole fleet file in force",
		ArgsUsage: "FILE",
		Description: "The file is accepted only if the generation that it is based on is still in force. That generation is " +
			"the comment that fetch wrote, or --base. If the answer was lost, apply the same file again: a repeat is recognised.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "`GENERATION` that the file is based on; 0 for the first file"},
			&cli.DurationFlag{Name: "wait", Usage: "`TIME` to wait until it is in force everywhere", Value: cuminstair.ForceTarget},
		},
		Action: apply,
	}
}

func apply(c *cli.Context) error {
	o, client, err := connect(c)
	if err != nil {
		return err
	}
	name, text, err := readFile(c)
	if err != nil {
		return err
	}
	base, err := readBase(c, text)
	if err != nil {
		return err
	}
	accepted, err := client.Apply(c.Context, cuminstair.ApplyRequest{Base: base, File: name, Text: text})
	if err != nil {
		return fmt.Errorf("apply %s: %w", name, err)
	}
	if !o.json {
		printAccepted(c.App.Writer, accepted)
	}
	force, err := waitForce(c, client, accepted.Generation)
	if err != nil {
		return fmt.Errorf("generation %d is accepted, but the wait until it is in force failed: %w: %w", accepted.Generation, err, errPending)
	}
	if err := printForce(c.App.Writer, o, accepted, force); err != nil {
		return err
	}
	if len(force.Missing) > 0 {
		return fmt.Errorf("generation %d, missing %v: %w", force.Generation, force.Missing, errPending)
	}
	return nil
}

// waitForce polls until every daemon has confirmed the generation or the wait time is over.
func waitForce(c *cli.Context, ops cuminstair.Operations, generation uint64) (cuminstair.ForceStatus, error) {
	ctx := c.Context
	timeout := time.NewTimer(c.Duration("wait"))
	defer timeout.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		force, err := ops.Force(ctx, generation)
		if err != nil || len(force.Missing) == 0 {
			return force, err
		}
		select {
		case <-ctx.Done():
			return force, fmt.Errorf("wait for the daemons: %w", ctx.Err())
		case <-timeout.C:
			return force, nil
		case <-tick.C:
		}
	}
}

func readBase(c *cli.Context, text string) (uint64, error) {
	if c.IsSet("base") {
		return c.Uint64("base"), nil
	}
	m := generationLine.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("the file does not say which generation it is based on; use --base: %w", errUsage)
	}
	base, err := strconv.ParseUint(m[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read the generation comment: %w", err)
	}
	return base, nil
}

// readFile reads the file that the only argument names; "-" is the standard input.
func readFile(c *cli.Context) (name, text string, err error) {
	name, err = argument(c, "FILE")
	if err != nil {
		return "", "", err
	}
	if name == "-" {
		data, err := io.ReadAll(c.App.Reader)
		if err != nil {
			return "", "", fmt.Errorf("read the standard input: %w", err)
		}
		return "stdin", string(data), nil
	}
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return "", "", fmt.Errorf("there is no file %s: %w", name, errUsage)
	}
	if err != nil {
		return "", "", fmt.Errorf("read the file: %w", err)
	}
	return name, string(data), nil
}
