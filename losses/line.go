package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is a log line of a box, with the fields that this package uses.
type Line struct {
	At           time.Time
	Box          string // empty if the line doesn't name it
	Event        string
	Request      string
	Route        string
	Customer     string
	Rank         int
	Endpoint     string
	Target       string // engine that a run is moved to
	Status       int
	EndReason    string
	Sends        int
	Late         bool
	FirstEvent   time.Duration
	LongestPause time.Duration
	PauseAfter   string
	LastEvent    string
	Took         time.Duration
	Failed       bool          // the line has an error
	MemoryUse    *float64      // estimated memory use of the chosen engine; nil for plain services
	ReportAge    time.Duration // age of the load report behind the estimate
	Outcome      string        // of a wait, or whether a request ran
	For          time.Duration // how long the request waited
	Estimate     time.Duration // estimated wait of a refused request; 0 if unknown
}

// lineBody is the JSON object in a log line.
type lineBody struct {
	At           time.Time `json:"at"`
	Box          string    `json:"box"`
	Event        string    `json:"event"`
	Request      string    `json:"request"`
	Route        string    `json:"route"`
	Customer     string    `json:"customer"`
	Rank         int       `json:"rank"`
	Endpoint     string    `json:"endpoint"`
	Target       string    `json:"target"`
	Status       int       `json:"status"`
	EndReason    string    `json:"why"`
	Sends        int       `json:"sends"`
	Late         bool      `json:"late"`
	FirstEvent   duration  `json:"first_event"`
	LongestPause duration  `json:"longest_pause"`
	PauseAfter   string    `json:"pause_after"`
	LastEvent    string    `json:"last_event"`
	Took         duration  `json:"took"`
	Error        string    `json:"error"`
	MemoryUse    *float64  `json:"full"`
	ReportAge    duration  `json:"report_age"`

	Outcome  optional[string]   `json:"outcome"`
	For      optional[duration] `json:"for"`
	Estimate optional[duration] `json:"estimate"`
}

// optional is a field that is left out if it has another type than expected, so that the line
// still counts.
type optional[T any] struct{ value T }

// UnmarshalJSON implements json.Unmarshaler.
func (o *optional[T]) UnmarshalJSON(text []byte) error {
	var value T
	if json.Unmarshal(text, &value) == nil {
		o.value = value
	}
	return nil
}

// duration is a time.Duration that is encoded as text, such as "1.5s".
type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(text []byte) error {
	var value string
	if err := json.Unmarshal(text, &value); err != nil {
		return errors.Wrap(err, "decode a duration")
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return errors.Wrap(err, "parse a duration; durations look like 1.5s or 20ms")
	}
	*d = duration(parsed)
	return nil
}

// errNoEvent is returned for a JSON object without an event.
var errNoEvent = errors.New("the line has no event; pass the log of a box")

// ParseLine parses a log line. Text before the first brace is skipped, since log collectors
// add prefixes such as a time or a name.
func ParseLine(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errors.New("the line has no JSON object; pass the log of a box")
	}
	var b lineBody
	if err := json.Unmarshal(text[start:], &b); err != nil {
		return Line{}, errors.Wrap(err, "the line is not a log line of a box")
	}
	if b.Event == "" {
		return Line{}, errNoEvent
	}
	return Line{
		At:           b.At,
		Box:          b.Box,
		Event:        b.Event,
		Request:      b.Request,
		Route:        b.Route,
		Customer:     b.Customer,
		Rank:         b.Rank,
		Endpoint:     b.Endpoint,
		Target:       b.Target,
		Status:       b.Status,
		EndReason:    b.EndReason,
		Sends:        b.Sends,
		Late:         b.Late,
		FirstEvent:   time.Duration(b.FirstEvent),
		LongestPause: time.Duration(b.LongestPause),
		PauseAfter:   b.PauseAfter,
		LastEvent:    b.LastEvent,
		Took:         time.Duration(b.Took),
		Failed:       b.Error != "",
		MemoryUse:    b.MemoryUse,
		ReportAge:    time.Duration(b.ReportAge),
		Outcome:      b.Outcome.value,
		For:          time.Duration(b.For.value),
		Estimate:     time.Duration(b.Estimate.value),
	}, nil
}

// Skipped counts the lines that could not be parsed.
type Skipped struct {
	Count      int    `json:"count"`
	First      int    `json:"first_line"` // line number of the first one, from 1
	FirstError string `json:"why"`        // error of the first one
}

// read parses each line of a log, calls handle for it, and counts those that can't be parsed.
func read(from io.Reader, handle func(Line)) (lines int, skipped Skipped, err error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		lines++
		if len(text) == 0 {
			continue
		}
		line, err := ParseLine(text)
		if err != nil {
			if skipped.Count == 0 {
				skipped.First = lines
				skipped.FirstError = err.Error()
			}
			skipped.Count++
			continue
		}
		handle(line)
	}
	return lines, skipped, errors.Wrapf(scanner.Err(), "read the log after line %d", lines)
}

// isAnswer reports whether the line is the end of a request that got an endpoint's answer.
func (l *Line) isAnswer() bool { return l.Event == "streamed" || l.Event == "answered" }
