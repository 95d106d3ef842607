package standin

import (
	"sync"
	"time"
)

// Faults are the faults that a fake injects until they are replaced.
type Faults struct {
	Stall          bool `json:"stall"`      // don't answer, and keep connections open
	DelayMS        int  `json:"delay_ms"`   // delay answers by this time
	DelayEvery     int  `json:"delay_nth"`  // service: delay every n-th answer only
	DuplicateEvery int  `json:"duplicate"`  // engine: send every n-th frame twice
	ReorderEvery   int  `json:"reorder"`    // engine: swap every n-th frame with the next
	CutEvery       int  `json:"cut"`        // engine: close the connection at every n-th frame
	Refuse         bool `json:"refuse"`     // refuse new requests
	WrongAnswer    bool `json:"cross"`      // service: label the answer with the previous request's ID
	Down           bool `json:"down"`       // platform: answer 503
	Stale          bool `json:"stale"`      // platform: don't show new versions
	StaleBy        int  `json:"stale_by"`   // platform: hide this many of the newest versions
	AnswerLate     bool `json:"late_after"` // service: run the request, then answer late
	Exit           bool `json:"die"`        // exit the process at once
}

// faultState holds the current faults and wakes waiting handlers when they change.
type faultState struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{}
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{})}
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) watch() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

// waitForFaults waits until no stall is injected, then sleeps for the injected delay. It returns
// early if stop is closed during a stall.
func (s *faultState) waitForFaults(stop <-chan struct{}) {
	f, changed := s.watch()
	for f.Stall {
		select {
		case <-changed:
		case <-stop:
			return
		}
		f, changed = s.watch()
	}
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
}
