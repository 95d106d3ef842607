package box

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/eventlog"
	"dillsaddle.example/dillsaddle/platform"
)

// Exit codes of the process.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// memoryLimitRatio is the fraction of the box's memory that is set as the Go runtime's
// memory limit. The rest is headroom for stacks, socket buffers and the log queue.
const memoryLimitRatio = 0.7

// Options are the process's command-line flags; all other settings come from the
// platform's settings file.
type Options struct {
	Settings    string
	MetricsPort int
	LogLevel    string
	Check       bool
	Source      string
}

func parse(arguments []string) (*Options, error) {
	o := &Options{}
	fs := flag.NewFlagSet("dillsaddle-node", flag.ContinueOnError)
	fs.StringVar(&o.Settings, "settings", os.Getenv(platform.SettingsVariable), "platform's settings `FILE`")
	fs.IntVar(&o.MetricsPort, "metrics-port", 9464, "`port` for metrics and status on the box's address")
	fs.StringVar(&o.LogLevel, "log-level", "info", "lowest `level` that is logged: debug, info, warn, error")
	fs.StringVar(&o.Source, "source", "", "local IP `address` of connections to endpoints; the system chooses one if empty")
	fs.BoolVar(&o.Check, "check", false, "check the settings and exit")
	return o, ff.Parse(fs, arguments)
}

// Main runs the process until its planned stop and returns its exit code. Signal
// handlers are installed first, so that a SIGHUP during startup doesn't end the
// process.
func Main(arguments []string, out io.Writer) int {
	// Each has a channel of its own, so that many reloads don't displace a stop.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
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
		fmt.Fprintln(out, "settings are valid")
		return exitOK
	}
	level, err := zap.ParseAtomicLevel(o.LogLevel)
	if err != nil {
		return fail(errors.Wrap(err, "parse -log-level"), exitUsage)
	}
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
	sink := eventlog.NewSink(out)
	var options []Option
	if o.Source != "" {
		source, err := netip.ParseAddr(o.Source)
		if err != nil {
			return fail(errors.Wrap(err, "parse -source"), exitUsage)
		}
		options = append(options, WithEndpointDial(engine.DialFrom(source)))
	}
	b, err := Start(o, s, eventlog.New(sink, level.Level()), sink, options...)
	if err != nil {
		return fail(err, exitError)
	}
	b.runUntilStopped(stops, reloads)
	sink.Close(logFlushTimeout)
	return exitOK
}

func fail(err error, code int) int {
	fmt.Fprintf(os.Stderr, "dillsaddle-node: %v\n", err)
	return code
}

// runUntilStopped handles signals until a planned stop is complete.
func (b *Box) runUntilStopped(stops, reloads <-chan os.Signal) {
	for {
		select {
		case <-reloads:
			b.Reload()
		case <-stops:
			b.Stop()
		case <-b.Done():
			return
		}
	}
}
