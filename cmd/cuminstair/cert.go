package main

import (
	"crypto/rand"
	"fmt"
	"os"

	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/peer"
	"cuminstair.org/cuminstair/timer"
)

// dirMode is for directories that hold keys.
const dirMode = 0o700

func certCommand() *cli.Command {
	return &cli.Command{
		Name:      "cert",
		Usage:     "create a certificate authority and daemon certificates for a trial, valid for a year",
		ArgsUsage: "DAEMON...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` to write to", Value: "."}},
		Action: func(c *cli.Context) error {
			if c.NArg() == 0 {
				return fmt.Errorf("cert takes the names of daemons: %w", errUsage)
			}
			dir := c.String("dir")
			if err := os.MkdirAll(dir, dirMode); err != nil {
				return fmt.Errorf("create the directory: %w", err)
			}
			authority, err := peer.NewAuthority(rand.Reader, timer.New().Now())
			if err != nil {
				return err
			}
			for _, name := range c.Args().Slice() {
				if err := authority.WriteCertificate(dir, name); err != nil {
					return err
				}
			}
			fmt.Fprintf(c.App.Writer, "wrote certificates of %d daemons and authority.crt to %s\n", c.NArg(), dir)
			return nil
		},
	}
}
