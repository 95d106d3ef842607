package commands

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/config"
)

func init() {
	register(&command{
		name:    "check",
		usage:   "FILE...",
		help:    "check configuration documents and list all faults",
		run:     check,
		suggest: func() []string { return []string{"*.json"} },
	})
}

func check(_ context.Context, out io.Writer, files []string) error {
	if len(files) == 0 {
		return &UsageError{Problem: "check needs at least one file"}
	}
	invalid := 0
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read the document")
		}
		d, faults := config.Parse(file, source)
		for _, f := range faults {
			fmt.Fprintln(out, f)
		}
		if d == nil {
			invalid++
			continue
		}
		fmt.Fprintf(out, "%s: version %d can be published: %d customers, %d tiers, %d models, %d endpoints, %d services\n",
			file, d.Version, len(d.Customers), len(d.Tiers), len(d.Models), len(d.Endpoints), len(d.Services))
	}
	if invalid > 0 {
		return errors.Errorf("%d of %d documents can't be published; correct the errors listed above", invalid, len(files))
	}
	return nil
}
