package engine

import (
	"context"
	"net/netip"
	"runtime/debug"

	"github.com/pkg/errors"
)

// PanicHandler is called with the value and the stack of a worker's panic.
type PanicHandler func(fault any, stack []byte)

// WithPanicRecovery wraps a worker so that a panic fails only the attempt in which it
// happens. The attempt counts as lost, since the request may have been sent.
func WithPanicRecovery(w Worker, onPanic PanicHandler) Worker {
	return &recoveringWorker{
		worker:  w,
		onPanic: onPanic,
	}
}

// recoveringWorker is a Worker that recovers from panics of another.
type recoveringWorker struct {
	worker  Worker
	onPanic PanicHandler
}

// recoverError turns a panic into an error. It must be deferred.
func (g *recoveringWorker) recoverError(err *error) {
	fault := recover()
	if fault == nil {
		return
	}
	g.onPanic(fault, debug.Stack())
	*err = errors.Errorf("worker panicked: %v; please report it with the stack in the log", fault)
}

// Start sends a request through the worker.
func (g *recoveringWorker) Start(ctx context.Context, c Call, sink chan<- Message) {
	g.runAttempt(ctx, sink, func() { g.worker.Start(ctx, c, sink) })
}

// Resume continues a generation through the worker.
func (g *recoveringWorker) Resume(ctx context.Context, c ResumeCall, sink chan<- Message) {
	g.runAttempt(ctx, sink, func() { g.worker.Resume(ctx, c, sink) })
}

// runAttempt calls do, reports its panic as a Lost message and closes the sink.
func (g *recoveringWorker) runAttempt(ctx context.Context, sink chan<- Message, do func()) {
	defer close(sink)
	var err error
	func() {
		defer g.recoverError(&err)
		do()
	}()
	if err == nil {
		return
	}
	select {
	case sink <- Lost{Cause: err}:
	case <-ctx.Done():
	}
}

// Cancel ends a generation through the worker.
func (g *recoveringWorker) Cancel(ctx context.Context, address netip.AddrPort, generation string, onlyIdle bool) (err error) {
	defer g.recoverError(&err)
	return g.worker.Cancel(ctx, address, generation, onlyIdle)
}

// Load reads a load report through the worker.
func (g *recoveringWorker) Load(ctx context.Context, address netip.AddrPort) (l Load, err error) {
	defer g.recoverError(&err)
	return g.worker.Load(ctx, address)
}

// CacheEvents reads cache events through the worker.
func (g *recoveringWorker) CacheEvents(ctx context.Context, address netip.AddrPort, after int) (events []CacheEvent, err error) {
	defer g.recoverError(&err)
	return g.worker.CacheEvents(ctx, address, after)
}

// Order sends an order through the worker.
func (g *recoveringWorker) Order(ctx context.Context, address netip.AddrPort, o Order) (err error) {
	defer g.recoverError(&err)
	return g.worker.Order(ctx, address, o)
}
