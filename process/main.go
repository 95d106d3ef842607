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

// Process is what a service is started with.
type Process struct {
	Box      *settings.Box
	Log      *zap.Logger
	Recorder *trace.Recorder
}

// Service is one of a box's processes. Stop starts a planned stop, as often as
// it is called; Left is closed when the process may end.
type Service interface {
	Stop()
	Done() <-chan struct{}
}

// The exit codes of a process.
const (
	exitDone  = 0
	exitFault = 1
	exitUsage = 2
)

// Main runs a service until a signal and its planned stop, and gives the exit
// code.
func Main(name string, start func(*Process) (Service, error)) int {
	box, err := settings.Parse(name, os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err != nil {
		return fault(name, err, exitUsage)
	}
	p := &Process{Box: box}
	if p.Log, err = box.Logger(name); err != nil {
		return fault(name, err, exitUsage)
	}
	if p.Recorder, err = trace.NewRecorder(box.Record); err != nil {
		return fault(name, err, exitUsage)
	}
	s, err := start(p)
	if err != nil {
		return fault(name, err, exitFault)
	}
	wait(s)
	_ = p.Log.Sync()
	return exitDone
}

func fault(name string, err error, code int) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return code
}

func wait(s Service) {
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
