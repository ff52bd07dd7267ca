package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v2"
)

// run runs the command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := newApp(stdout, stderr)
	err := app.RunContext(ctx, args)
	if err != nil {
		fmt.Fprintf(stderr, "cuminstair: %s\n", err)
	}
	return exitCode(err)
}

func newApp(stdout, stderr io.Writer) *cli.App {
	return &cli.App{
		Name:                 "cuminstair",
		Usage:                "manage the capacity and the maintenance of a fleet",
		Description:          description,
		Writer:               stdout,
		ErrWriter:            stderr,
		EnableBashCompletion: true,
		Flags:                globalFlags(),
		Commands:             commands(),
		ExitErrHandler:       func(*cli.Context, error) {},
		OnUsageError:         usageError,
		Before: func(c *cli.Context) error {
			_, err := readOptions(c)
			return err
		},
		CommandNotFound: func(_ *cli.Context, name string) {
			fmt.Fprintf(stderr, "cuminstair: there is no command %q; see cuminstair help\n", name)
		},
	}
}

const description = `Sends each request to the first entry daemon of --server that can be reached; any of them can answer.

EXIT CODES
   0  success
   1  other failure
   2  wrong use of the command line
   3  the file has faults
   4  conflict: another change was accepted first
   5  the daemons or the platform can't be reached; nothing was changed
   6  there is no such host, wave, job or request
   7  accepted, but not yet in force in every daemon
   8  the answer was lost: the change may have been accepted; repeat the command`

func usageError(_ *cli.Context, err error, _ bool) error {
	return fmt.Errorf("%w: %w", err, errUsage)
}

// withUsageErrors makes wrong flags of every command end with exitUsage.
func withUsageErrors(cmds []*cli.Command) []*cli.Command {
	for _, c := range cmds {
		c.OnUsageError = usageError
		withUsageErrors(c.Subcommands)
	}
	return cmds
}

func commands() []*cli.Command {
	return withUsageErrors([]*cli.Command{
		checkCommand(),
		diffCommand(),
		fetchCommand(),
		applyCommand(),
		statusCommand(),
		hostCommand(),
		waveCommand(),
		jobCommand(),
		explainCommand(),
		chartCommand(),
		certCommand(),
		completionCommand(),
		manCommand(),
	})
}
