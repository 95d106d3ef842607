package commands

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/node"
)

func init() {
	register(&command{
		name:    "replay",
		usage:   "FILE...",
		help:    "replay recorded traces against their stated outcomes",
		run:     replay,
		suggest: func() []string { return []string{"*.jsonl"} },
	})
}

func replay(_ context.Context, out io.Writer, files []string) error {
	if len(files) == 0 {
		return &UsageError{What: "replay needs one file or more"}
	}
	bad := 0
	for _, file := range files {
		report, err := replayFile(file)
		if err != nil {
			return errors.Wrap(err, file)
		}
		fmt.Fprintf(out, "%s: %d events, %d of %d stated outcomes hold\n", file, report.Events, report.Expectations-len(report.Mismatches), report.Expectations)
		for _, m := range report.Mismatches {
			fmt.Fprintf(out, "%s: %v\n", file, m)
		}
		bad += len(report.Mismatches)
	}
	if bad > 0 {
		return errors.Errorf("%d stated outcomes don't hold; the lines above name them", bad)
	}
	return nil
}

func replayFile(file string) (*node.Report, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return node.Replay(f)
}
