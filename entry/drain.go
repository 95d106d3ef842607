package entry

import (
	"context"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

func (e *Entry) isAccepting() bool {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	return e.drain.Accepting()
}

// Stop starts a planned stop: new requests are refused with a retry delay, and running
// requests may complete. Further calls have no effect.
func (e *Entry) Stop() {
	if len(e.drainStep(core.StopRequested{})) == 0 {
		return
	}
	e.log.Info("planned stop started; refusing new requests and draining running ones")
	go e.waitForDrain()
}

func (e *Entry) drainStep(ev core.Event) []core.Command {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	e.drain.Step(time.Now(), core.WorkChanged{Streams: e.active})
	return e.drain.Step(time.Now(), ev)
}

// Done returns a channel that is closed when the process may exit.
func (e *Entry) Done() <-chan struct{} { return e.exited }

func (e *Entry) waitForDrain() {
	began := time.Now()
	for time.Since(began) < e.settings.DrainTimeout {
		e.drainStep(core.WorkChanged{Streams: e.activeRequests()})
		if e.drainState() == core.DrainLeft {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.Close()
}

func (e *Entry) activeRequests() int {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	return e.active
}

func (e *Entry) drainState() core.DrainState {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	return e.drain.State
}

// Close stops the entry at once, without draining it.
func (e *Entry) Close() {
	e.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = e.http.Shutdown(ctx)
	close(e.exited)
}
