package main

import (
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit or cancel jobs in bulk",
		Subcommands: []*cli.Command{
			{
				Name:      "submit",
				Usage:     "submit the jobs of a file, a list in JSON with comments",
				ArgsUsage: "FILE",
				Action:    submit,
			},
			{
				Name:  "cancel",
				Usage: "cancel jobs by id, team, or team and class",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "id", Usage: "`ID` of a job; may be given several times"},
					&cli.StringFlag{Name: "team", Usage: "`TEAM` whose jobs are cancelled"},
					&cli.StringFlag{Name: "class", Usage: "`CLASS` of that team's jobs"},
				},
				Action: cancel,
			},
		},
	}
}

func submit(c *cli.Context) error {
	_, client, err := connect(c)
	if err != nil {
		return err
	}
	name, text, err := readFile(c)
	if err != nil {
		return err
	}
	data, err := hujson.Standardize([]byte(text))
	if err != nil {
		return fmt.Errorf("read %s: %w: %w", name, err, errUsage)
	}
	var jobs []cuminstair.Job
	if err := json.Unmarshal(data, &jobs); err != nil {
		return fmt.Errorf("read %s: %w: %w", name, err, errUsage)
	}
	n, err := client.Submit(c.Context, jobs)
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	fmt.Fprintf(c.App.Writer, "%d jobs accepted\n", n.Count)
	return nil
}

func cancel(c *cli.Context) error {
	_, client, err := connect(c)
	if err != nil {
		return err
	}
	sel := cuminstair.Cancellation{IDs: c.StringSlice("id"), Team: c.String("team"), Class: c.String("class")}
	if len(sel.IDs) == 0 && sel.Team == "" {
		return fmt.Errorf("no jobs selected; use --id or --team: %w", errUsage)
	}
	n, err := client.Cancel(c.Context, sel)
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	fmt.Fprintf(c.App.Writer, "%d jobs cancelled\n", n.Count)
	return nil
}
