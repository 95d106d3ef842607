package engine

import (
	"context"
	"net/netip"
	"runtime/debug"

	"github.com/pkg/errors"
)

// PanicHandler is called with what a worker's panic said and where it was.
type PanicHandler func(fault any, stack []byte)

// WithPanicRecovery keeps a panic in a worker to the attempt in which it happened: the
// attempt counts as lost, since its bytes may have left.
func WithPanicRecovery(w Worker, seen PanicHandler) Worker {
	return &guard{
		worker: w,
		seen:   seen,
	}
}

type guard struct {
	worker Worker
	seen   PanicHandler
}

// caught turns a panic into an error; it must be deferred.
func (g *guard) caught(err *error) {
	fault := recover()
	if fault == nil {
		return
	}
	g.seen(fault, debug.Stack())
	*err = errors.Errorf("the worker panicked: %v; see the log and report it", fault)
}

// Start sends a request through the worker.
func (g *guard) Start(ctx context.Context, c Call, sink chan<- Message) {
	g.attempt(ctx, sink, func() { g.worker.Start(ctx, c, sink) })
}

// Resume continues a generation through the worker.
func (g *guard) Resume(ctx context.Context, c ResumeCall, sink chan<- Message) {
	g.attempt(ctx, sink, func() { g.worker.Resume(ctx, c, sink) })
}

func (g *guard) attempt(ctx context.Context, sink chan<- Message, do func()) {
	defer close(sink)
	var err error
	func() {
		defer g.caught(&err)
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
func (g *guard) Cancel(ctx context.Context, address netip.AddrPort, generation string, onlyIdle bool) (err error) {
	defer g.caught(&err)
	return g.worker.Cancel(ctx, address, generation, onlyIdle)
}

// Load reads a load report through the worker.
func (g *guard) Load(ctx context.Context, address netip.AddrPort) (l Load, err error) {
	defer g.caught(&err)
	return g.worker.Load(ctx, address)
}

// CacheEvents reads cache events through the worker.
func (g *guard) CacheEvents(ctx context.Context, address netip.AddrPort, after int) (events []CacheEvent, err error) {
	defer g.caught(&err)
	return g.worker.CacheEvents(ctx, address, after)
}

// Order sends an order through the worker.
func (g *guard) Order(ctx context.Context, address netip.AddrPort, o Order) (err error) {
	defer g.caught(&err)
	return g.worker.Order(ctx, address, o)
}
