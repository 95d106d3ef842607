package lab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/soak"
)

func init() {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	program := fs.String("program", "bin/dillsaddle-node", "`program` of a box")
	first := fs.Uint64("first", 1, "first `seed`")
	seeds := fs.Int("seeds", 50, "`number` of seeds")
	jobs := fs.Int("jobs", 3, "`number` of seeds to run at once")
	boxes := fs.Int("boxes", 3, "`number` of boxes for each seed, each a process; above 24 they work in several groups")
	folder := fs.String("logs", "run/soak", "`folder` for the boxes' logs")
	commands = append(commands, &ffcli.Command{
		Name:       "soak",
		ShortUsage: "dillsaddle-lab soak [flags]",
		ShortHelp:  "run boxes on an emulated platform under random faults and check the guarantees",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return soakSeeds(os.Stdout, *program, *folder, *first, *seeds, *jobs, soak.WithBoxes(*boxes))
		},
	})
}

// soakSeeds runs several seeds at once and prints each report when its seed has finished.
func soakSeeds(out io.Writer, program, folder string, first uint64, seeds, jobs int, opts ...soak.Option) error {
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(jobs, 1))
	broken := 0
	for n := range seeds {
		seed := first + uint64(n)
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			report, err := soakSeed(program, folder, seed, opts...)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				broken++
				fmt.Fprintf(out, "seed %d didn't run: %v\n", seed, err)
				return
			}
			if len(report.Violations) > 0 {
				broken++
			}
			fmt.Fprintln(out, report)
		})
	}
	wait.Wait()
	fmt.Fprintf(out, "%d seeds, %d with a violated guarantee\n", seeds, broken)
	if broken > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee; their logs are in %s", broken, seeds, folder)
	}
	return nil
}

func soakSeed(program, folder string, seed uint64, opts ...soak.Option) (*soak.Report, error) {
	seedFolder := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(seedFolder, 0o755); err != nil {
		return nil, err
	}
	return soak.Run(program, seedFolder, seed, opts...)
}
