package commands

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// release is the version number of this release.
const release = "0.1.0"

func init() {
	register(&command{
		name: "version",
		help: "print the release and the commit it was built from",
		run:  version,
	})
}

func version(_ context.Context, out io.Writer, _ []string) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(out, "dillsaddle %s, built from %s\n", release, revision)
	return err
}
