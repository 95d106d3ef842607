package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// command describes one command of the command line.
type command struct {
	name    string
	usage   string
	help    string
	flags   func(*flag.FlagSet)
	run     func(ctx context.Context, out io.Writer, arguments []string) error
	suggest func() []string // returns completions for arguments
}

var registry []*command

// register adds a command; it is called from the init functions.
func register(c *command) { registry = append(registry, c) }

// UsageError reports an invalid command line.
type UsageError struct {
	Problem string
}

// Error describes the problem and refers to the help.
func (e *UsageError) Error() string { return e.Problem + "; see dillsaddle -h" }

// The exit codes of the command line.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Run executes a command line and returns its exit code.
func Run(arguments []string, out io.Writer) int {
	sort.Slice(registry, func(i, j int) bool { return registry[i].name < registry[j].name })
	root := &ffcli.Command{
		ShortUsage: "dillsaddle COMMAND [flags] [arguments]",
		ShortHelp:  "check, explain and monitor a dillsaddle fleet",
		FlagSet:    flag.NewFlagSet("dillsaddle", flag.ContinueOnError),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, c := range registry {
		root.Subcommands = append(root.Subcommands, c.build(out))
	}
	err := root.ParseAndRun(context.Background(), arguments)
	var usage *UsageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "dillsaddle:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "dillsaddle:", err)
	return exitError
}

func (c *command) build(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("dillsaddle "+c.name, flag.ContinueOnError)
	if c.flags != nil {
		c.flags(fs)
	}
	return &ffcli.Command{
		Name:       c.name,
		ShortUsage: "dillsaddle " + c.name + " " + c.usage,
		ShortHelp:  c.help,
		FlagSet:    fs,
		Exec:       func(ctx context.Context, arguments []string) error { return c.run(ctx, out, arguments) },
	}
}
