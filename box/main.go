package box

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/eventlog"
	"dillsaddle.example/dillsaddle/platform"
)

// The exit codes of the process.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// memoryLimitRatio is the share of a box's memory beyond which the collector works
// harder; the rest is for stacks, sockets' buffers and the log's queue.
const memoryLimitRatio = 0.7

// Options are the flags of the process; everything else comes from the
// platform's settings file.
type Options struct {
	Settings    string
	MetricsPort int
	LogLevel    string
	Check       bool
}

func parse(arguments []string) (*Options, error) {
	o := &Options{}
	fs := flag.NewFlagSet("dillsaddle-node", flag.ContinueOnError)
	fs.StringVar(&o.Settings, "settings", os.Getenv(platform.SettingsVariable), "platform's settings `FILE`")
	fs.IntVar(&o.MetricsPort, "metrics-port", 9464, "`port` of metrics and status on the box's address")
	fs.StringVar(&o.LogLevel, "log-level", "info", "least `level` of log lines: debug, info, warn, error")
	fs.BoolVar(&o.Check, "check", false, "check the settings and end")
	return o, ff.Parse(fs, arguments)
}

// Main runs the process until its planned stop and gives its exit code. Signals
// are taken from the first moment: a reload that meets a starting process must
// not end it.
func Main(arguments []string, out io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	o, err := parse(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return fail(err, exitUsage)
	}
	s, err := platform.LoadSettings(o.Settings)
	if err != nil {
		return fail(err, exitUsage)
	}
	if o.Check {
		fmt.Fprintln(out, "the settings are sound")
		return exitOK
	}
	level, err := zap.ParseAtomicLevel(o.LogLevel)
	if err != nil {
		return fail(errors.Wrap(err, "read -log-level"), exitUsage)
	}
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
	sink := eventlog.NewSink(out)
	b, err := Start(o, s, eventlog.New(sink, level.Level()), sink)
	if err != nil {
		return fail(err, exitError)
	}
	b.runUntilStopped(signals)
	sink.Close(logFlushTimeout)
	return exitOK
}

func fail(err error, code int) int {
	fmt.Fprintf(os.Stderr, "dillsaddle-node: %v\n", err)
	return code
}

// runUntilStopped serves until a planned stop is over. A second signal changes nothing.
func (b *Box) runUntilStopped(signals <-chan os.Signal) {
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				b.Reload()
				continue
			}
			b.Stop()
		case <-b.Done():
			return
		}
	}
}
