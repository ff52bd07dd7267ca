package main

import (
	"fmt"

	"github.com/urfave/cli/v2"
)

const bashCompletion = `_cuminstair() {
  local words
  words=$("${COMP_WORDS[@]:0:$COMP_CWORD}" --generate-bash-completion 2>/dev/null)
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o bashdefault -o default -F _cuminstair cuminstair
`

const zshCompletion = `#compdef cuminstair
_cuminstair() {
  local -a words
  words=("${(@f)$(${words[@]:0:#words[@]-1} --generate-bash-completion 2>/dev/null)}")
  _describe 'values' words
}
compdef _cuminstair cuminstair
`

func completionCommand() *cli.Command {
	return &cli.Command{
		Name:      "completion",
		Usage:     "print the completion script of a shell",
		ArgsUsage: "bash|zsh",
		Action: func(c *cli.Context) error {
			shell, err := argument(c, "bash or zsh")
			if err != nil {
				return err
			}
			scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion}
			script, ok := scripts[shell]
			if !ok {
				return fmt.Errorf("there is no completion for %q, only for bash and zsh: %w", shell, errUsage)
			}
			fmt.Fprint(c.App.Writer, script)
			return nil
		},
	}
}

// manSection is the section of the manual for user commands.
const manSection = 1

func manCommand() *cli.Command {
	return &cli.Command{
		Name:  "man",
		Usage: "print the man page",
		Action: func(c *cli.Context) error {
			page, err := c.App.ToManWithSection(manSection)
			if err != nil {
				return fmt.Errorf("generate the man page: %w", err)
			}
			fmt.Fprint(c.App.Writer, page)
			return nil
		},
	}
}
