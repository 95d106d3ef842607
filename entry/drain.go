package entry

import (
	"context"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

func (e *Entry) taking() bool {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	return e.drain.Accepting()
}

// Stop starts a planned stop: new requests are refused with when to come back,
// those in progress go on to their end. A second call changes nothing.
func (e *Entry) Stop() {
	if len(e.drainStep(core.StopRequested{})) == 0 {
		return
	}
	e.log.Info("planned stop")
	go e.drainOut()
}

func (e *Entry) drainStep(ev core.Event) []core.Command {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	e.drain.Step(time.Now(), core.WorkChanged{Streams: e.work})
	return e.drain.Step(time.Now(), ev)
}

// Done is closed when the process may end.
func (e *Entry) Done() <-chan struct{} { return e.left }

func (e *Entry) drainOut() {
	began := time.Now()
	for time.Since(began) < e.settings.DrainTimeout {
		e.drainStep(core.WorkChanged{Streams: e.working()})
		if e.drainState() == core.DrainLeft {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.Close()
}

func (e *Entry) working() int {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	return e.work
}

func (e *Entry) drainState() core.DrainState {
	e.drainLock.Lock()
	defer e.drainLock.Unlock()
	return e.drain.State
}

// Close ends the entry at once.
func (e *Entry) Close() {
	e.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = e.http.Shutdown(ctx)
	close(e.left)
}
