// Command experiment plays days in virtual time against the decisions of the product and prints what they earn.
package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v2"
)

func main() {
	if err := newApp().Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func newApp() *cli.App {
	return &cli.App{
		Name:      "experiment",
		Usage:     "play days of a load in virtual time against the decisions of the product",
		ArgsUsage: "LOAD.jsonc...",
		Action:    run,
		// The fields of a fault are separated by commas.
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Value: "present", Usage: "policy to play; the command policies lists them"},
			&cli.StringFlag{Name: "against", Usage: "policies to compare it with, separated by commas, or all"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first day"},
			&cli.IntFlag{Name: "days", Value: 1, Usage: "days to play with consecutive seeds; the figures are their mean"},
			&cli.Float64Flag{Name: "rate", Value: 1, Usage: "factor on the rates of all queues"},
			&cli.Float64Flag{Name: "seconds", Usage: "length of the traffic instead of that in the load"},
			&cli.StringSliceFlag{Name: "fault", Usage: "fault to add: KIND,AT,SECONDS[,POOL,COUNT | ,CENTRE]"},
			&cli.BoolFlag{Name: "json", Usage: "print the results of all days as JSON"},
			&cli.BoolFlag{Name: "windows", Usage: "print what each window of 2 s earns too"},
			&cli.StringFlag{Name: "svg", Usage: "write a plot of what the windows earn to this file"},
		},
		Commands: []*cli.Command{{Name: "policies", Usage: "list the policies", Action: listPolicies}},
	}
}
