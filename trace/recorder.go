package trace

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
)

// Line is one line of a trace.
type Line struct {
	At     Duration        `json:"at"`
	On     string          `json:"on"`
	Event  string          `json:"event,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Expect string          `json:"expect,omitempty"`
	Note   string          `json:"note,omitempty"`
}

// Duration is a time since a trace's start, written as "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the duration from text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// The names of a node's aggregates in a trace.
const (
	ClaimOwner = "home"
	Versions   = "versions"
	Generation = "generation/"
	Ownership  = "hold/"
	Model      = "model/"
)

// Recorder writes a trace; a nil recorder writes nothing.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecorder appends to a file, or gives nil for an empty name.
func NewRecorder(name string) (*Recorder, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the trace file; give a path that can be written")
	}
	return &Recorder{
		file:  f,
		start: time.Now(),
	}, nil
}

// RecordClaimOwnerStart records the start of a claims' home.
func (r *Recorder) RecordClaimOwnerStart(now time.Time, self core.Box, rules core.ClaimRules) {
	r.Event(now, ClaimOwner, HomeBegun{
		Self:  self,
		Rules: rules,
	})
}

// Event records one event of an aggregate.
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
