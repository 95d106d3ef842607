package lab

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func init() {
	fs := flag.NewFlagSet("slopes", flag.ContinueOnError)
	programs := fs.String("programs", "bin", "`folder` of the programs")
	duration := fs.Duration("lasting", 8*time.Second, "`time` of each load on real processes")
	commands = append(commands, &ffcli.Command{
		Name:       "slopes",
		ShortUsage: "dillsaddle-lab slopes [flags]",
		ShortHelp:  "measure the cost of each part and extrapolate it to the target size",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return slopes(*programs, *duration) },
	})
}

func slopes(programs string, duration time.Duration) error {
	all := coreSlopes()
	if err := printSlopes(os.Stdout, all); err != nil {
		return err
	}
	if err := printCapacity(os.Stdout, all); err != nil {
		return err
	}
	if err := printControl(os.Stdout, programs, duration); err != nil {
		return err
	}
	if err := printPath(os.Stdout, programs, duration); err != nil {
		return err
	}
	return printTail(os.Stdout, programs, duration)
}
