package standin

import (
	"sync"
	"time"
)

// Faults says what a stand-in does wrong from now on.
type Faults struct {
	Stall          bool `json:"stall"`      // stop answering without closing
	DelayMS        int  `json:"delay_ms"`   // answer so much later
	DelayEvery     int  `json:"delay_nth"`  // a service delays every n-th answer only
	DuplicateEvery int  `json:"duplicate"`  // send every n-th frame twice
	ReorderEvery   int  `json:"reorder"`    // swap every n-th frame with the next
	CutEvery       int  `json:"cut"`        // break the link after so many frames
	Refuse         bool `json:"refuse"`     // refuse new work
	WrongAnswer    bool `json:"cross"`      // answer with another request's answer
	Down           bool `json:"down"`       // the platform answers 503
	Stale          bool `json:"stale"`      // the platform shows what it had
	StaleBy        int  `json:"stale_by"`   // the platform shows so many versions less
	AnswerLate     bool `json:"late_after"` // a service acts, then answers late
	Exit           bool `json:"die"`        // end the process at once
}

type faultBox struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{}
}

func newFaultBox() *faultBox {
	return &faultBox{changed: make(chan struct{})}
}

func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

func (b *faultBox) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = f
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *faultBox) watch() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.changed
}

// hold waits while the stand-in is told to stall, and for its delay; stop ends
// the wait.
func (b *faultBox) hold(stop <-chan struct{}) {
	f, changed := b.watch()
	for f.Stall {
		select {
		case <-changed:
		case <-stop:
			return
		}
		f, changed = b.watch()
	}
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
}
