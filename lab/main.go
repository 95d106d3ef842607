package lab

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// commands holds the sub-commands; each file adds its own.
var commands []*ffcli.Command

// Run executes a command line and returns its exit code.
func Run(arguments []string) int {
	root := &ffcli.Command{
		ShortUsage:  "dillsaddle-lab COMMAND [flags]",
		FlagSet:     flag.NewFlagSet("dillsaddle-lab", flag.ContinueOnError),
		Subcommands: commands,
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), arguments)
	if err == nil {
		return 0
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "dillsaddle-lab:", err)
	}
	return 1
}
