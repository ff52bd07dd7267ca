package main

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/caller"
	"cuminstair.org/cuminstair/chart"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/job"
	"cuminstair.org/cuminstair/wave"
)

func chartCommand() *cli.Command {
	return &cli.Command{
		Name:      "chart",
		Usage:     "print a state chart: host, wave, job, request or upstream",
		ArgsUsage: "CHART",
		Action: func(c *cli.Context) error {
			name, err := argument(c, "CHART")
			if err != nil {
				return err
			}
			charts := append(wave.Charts(), job.Chart(), caller.Chart(), health.Chart())
			return printChart(c, charts, name)
		},
	}
}

func printChart(c *cli.Context, charts []*chart.Chart, name string) error {
	var known []string
	for _, ch := range charts {
		if ch.Name == name {
			fmt.Fprint(c.App.Writer, ch)
			return nil
		}
		known = append(known, ch.Name)
	}
	return fmt.Errorf("there is no chart %q, only %s: %w", name, strings.Join(known, ", "), cuminstair.ErrNotFound)
}
