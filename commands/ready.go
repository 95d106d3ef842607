package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

var readyTimeout time.Duration

func init() {
	register(&command{
		name:  "ready",
		usage: "[-wait TIME] ADDRESS",
		help:  "wait until a process is ready, or report what is missing",
		flags: func(fs *flag.FlagSet) {
			fs.DurationVar(&readyTimeout, "wait", 0, "longest `time` to wait")
		},
		run: ready,
	})
}

// readyPollInterval is the time between two readiness checks.
const readyPollInterval = 100 * time.Millisecond

func ready(ctx context.Context, out io.Writer, arguments []string) error {
	if len(arguments) != 1 {
		return &UsageError{Problem: "ready needs one address"}
	}
	deadline := time.Now().Add(readyTimeout)
	for {
		code, body, err := fetch(ctx, arguments[0], "/readyz")
		if err == nil && code == 200 {
			_, err := fmt.Fprintln(out, "ready")
			return err
		}
		var usage *UsageError
		if errors.As(err, &usage) {
			return err
		}
		if time.Now().After(deadline) {
			return errors.Errorf("not ready: %s%v", strings.TrimSpace(string(body)), errorText(err))
		}
		time.Sleep(readyPollInterval)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
