package commands

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/losses"
)

var lossesJSON bool

func init() {
	register(&command{
		name:  "losses",
		usage: "[-json] LOG...",
		help:  "say from boxes' logs which requests were lost or late, when in their lives and why",
		flags: func(fs *flag.FlagSet) {
			fs.BoolVar(&lossesJSON, "json", false, "print JSON in place of tables")
		},
		run:     runLosses,
		suggest: func() []string { return []string{"*.log"} },
	})
}

// stdin is the name of the standard input among files.
const stdin = "-"

func runLosses(_ context.Context, out io.Writer, files []string) error {
	if len(files) == 0 {
		return &UsageError{What: "losses needs the logs of boxes, or - for the standard input"}
	}
	r := losses.NewReader()
	for _, name := range files {
		if err := readLog(r, name); err != nil {
			return err
		}
	}
	report := r.Report()
	if report.Lines == report.Skipped.Count {
		return errors.Errorf("none of the %d lines is a log line of a box (line %d: %s); give what boxes write to their standard output",
			report.Lines, report.Skipped.First, report.Skipped.FirstError)
	}
	if lossesJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(report), "write the report")
	}
	return report.WriteText(out)
}

func readLog(r *losses.Reader, name string) error {
	if name == stdin {
		return r.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log; give the path of a file, or - for the standard input")
	}
	defer f.Close()
	return errors.Wrap(r.Read(f), name)
}
