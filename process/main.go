package process

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/settings"
	"dillsaddle.example/dillsaddle/trace"
)

// Dependencies holds what every service needs to start.
type Dependencies struct {
	Box      *settings.Box
	Log      *zap.Logger
	Recorder *trace.Recorder
}

// Service is one of a box's processes. Stop starts a planned stop and may be called
// repeatedly; the channel of Done is closed when the process may exit.
type Service interface {
	Stop()
	Done() <-chan struct{}
}

// The exit codes of a process.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Main runs a service until a signal has stopped it, and returns the exit code.
func Main(name string, start func(*Dependencies) (Service, error)) int {
	box, err := settings.Parse(name, os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return exitWithError(name, err, exitUsage)
	}
	p := &Dependencies{Box: box}
	if p.Log, err = box.Logger(name); err != nil {
		return exitWithError(name, err, exitUsage)
	}
	if p.Recorder, err = trace.NewRecorder(box.RecordFile); err != nil {
		return exitWithError(name, err, exitUsage)
	}
	s, err := start(p)
	if err != nil {
		return exitWithError(name, err, exitError)
	}
	waitUntilDone(s)
	_ = p.Log.Sync()
	return exitOK
}

func exitWithError(name string, err error, code int) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return code
}

func waitUntilDone(s Service) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-signals:
			s.Stop()
		case <-s.Done():
			return
		}
	}
}
