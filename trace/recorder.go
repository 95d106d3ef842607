package trace

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
)

// Line is one line of a trace. It holds an event for the state machine that On names, the
// expected outcome of that machine's events so far, or both.
type Line struct {
	At     Duration        `json:"at"`
	On     string          `json:"on"`
	Event  string          `json:"event,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Expect string          `json:"expect,omitempty"`
	Note   string          `json:"note,omitempty"`
}

// Duration is a time since the start of a trace, encoded as text such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// The names of a box's state machines in a trace; those with a slash are prefixes of an ID. They
// are part of the trace format.
const (
	ClaimOwner = "home"
	Versions   = "versions"
	Generation = "generation/"
	Ownership  = "hold/"
	Model      = "model/"
)

// Recorder writes a trace to a file. A nil Recorder discards all events.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecorder returns a recorder that appends to a file, or nil if the name is empty.
func NewRecorder(name string) (*Recorder, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file (its path must be writable)")
	}
	return &Recorder{
		file:  f,
		start: time.Now(),
	}, nil
}

// RecordClaimOwnerStart records the first event of a claim owner.
func (r *Recorder) RecordClaimOwnerStart(now time.Time, self core.Box, rules core.ClaimRules) {
	r.Event(now, ClaimOwner, HomeBegun{
		Self:  self,
		Rules: rules,
	})
}

// Event records one event of the state machine with the given name. Events that can't be encoded
// or written are dropped.
func (r *Recorder) Event(now time.Time, on string, ev core.Event) {
	if r == nil {
		return
	}
	name, data, err := encode(ev, r.start)
	if err != nil {
		return
	}
	r.write(Line{
		At:    Duration(now.Sub(r.start)),
		On:    on,
		Event: name,
		Data:  data,
	})
}

func (r *Recorder) write(l Line) {
	text, err := json.Marshal(l)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(text, '\n'))
}
