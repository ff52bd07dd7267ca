package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of the fleet",
		Subcommands: []*cli.Command{
			listCommand("daemons", "entry daemons and their configuration", (*operator.Client).Daemons, daemonColumns),
			listCommand("pools", "pools with their hosts and load", (*operator.Client).Pools, poolColumns),
			listCommand("hosts", "hosts with pool, state and health", (*operator.Client).Hosts, hostColumns),
			listCommand("waves", "maintenance waves and their progress", (*operator.Client).Waves, waveColumns),
			listCommand("budgets", "availability budgets and their remaining room", (*operator.Client).Budgets, budgetColumns),
			listCommand("jobs", "jobs and where they run", (*operator.Client).Jobs, jobColumns),
		},
	}
}

// listCommand returns a command that prints the rows that fetch returns.
func listCommand[T any](name, usage string, fetch func(*operator.Client, context.Context) ([]T, error), cols []column[T]) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Action: func(c *cli.Context) error {
			o, client, err := connect(c)
			if err != nil {
				return err
			}
			rows, err := fetch(client, c.Context)
			if err != nil {
				return err
			}
			return printRows(c.App.Writer, o, cols, rows)
		},
	}
}

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "drain, hold or resume a host",
		Subcommands: []*cli.Command{
			changeCommand("drain", "let the host finish its requests and give it no new ones", "HOST", (*operator.Client).ChangeHost),
			changeCommand("hold", "keep planned work away from the host", "HOST", (*operator.Client).ChangeHost),
			changeCommand("resume", "end a drain or a hold", "HOST", (*operator.Client).ChangeHost),
		},
	}
}

func waveCommand() *cli.Command {
	return &cli.Command{
		Name:  "wave",
		Usage: "start, hold or resume a maintenance wave",
		Subcommands: []*cli.Command{
			changeCommand("start", "start a wave that was declared with hold", "WAVE", (*operator.Client).ChangeWave),
			changeCommand("hold", "start no further hosts; hosts in progress finish", "WAVE", (*operator.Client).ChangeWave),
			changeCommand("resume", "continue after a hold or after the wave stopped by itself", "WAVE", (*operator.Client).ChangeWave),
		},
	}
}

func changeCommand(action, usage, arg string, change func(*operator.Client, context.Context, string, string) error) *cli.Command {
	return &cli.Command{
		Name:      action,
		Usage:     usage,
		ArgsUsage: arg,
		Action: func(c *cli.Context) error {
			_, client, err := connect(c)
			if err != nil {
				return err
			}
			id, err := argument(c, arg)
			if err != nil {
				return err
			}
			if err := change(client, c.Context, id, action); err != nil {
				return fmt.Errorf("%s %s: %w", action, id, err)
			}
			fmt.Fprintf(c.App.Writer, "%s: %s accepted\n", id, action)
			return nil
		},
	}
}

func explainCommand() *cli.Command {
	var subs []*cli.Command
	for _, kind := range []string{"host", "request", "wave", "job"} {
		subs = append(subs, &cli.Command{
			Name:      kind,
			Usage:     "explain a " + kind,
			ArgsUsage: "ID",
			Action:    func(c *cli.Context) error { return explain(c, kind) },
		})
	}
	return &cli.Command{Name: "explain", Usage: "explain the state of a host, request, wave or job", Subcommands: subs}
}

func explain(c *cli.Context, kind string) error {
	o, client, err := connect(c)
	if err != nil {
		return err
	}
	id, err := argument(c, "ID")
	if err != nil {
		return err
	}
	e, err := client.Explain(c.Context, kind, id)
	if err != nil {
		return err
	}
	return printExplanation(c.App.Writer, o, e)
}
