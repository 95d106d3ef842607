package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// longestLine bounds one log line; boxes write some hundred bytes.
const longestLine = 1 << 20

// Line is one log line of a box, with the fields that this package reads.
type Line struct {
	At           time.Time
	Box          string // empty where the line doesn't say
	Event        string
	Request      string
	Route        string
	Customer     string
	Rank         int
	Endpoint     string
	Target       string // of a move
	Status       int
	EndReason    string
	Sends        int
	Late         bool
	FirstEvent   time.Duration
	LongestPause time.Duration
	PauseAfter   string
	LastEvent    string
	Took         time.Duration
	Failed       bool          // the line carries an error
	MemoryUse    *float64      // how full an engine's memory was believed to get; nil elsewhere
	ReportAge    time.Duration // of the engine's word that this came from
}

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
}

// duration reads what the log writes as text, such as 1.5s.
type duration time.Duration

// UnmarshalJSON reads a duration.
func (d *duration) UnmarshalJSON(text []byte) error {
	var word string
	if err := json.Unmarshal(text, &word); err != nil {
		return errors.Wrap(err, "read a duration")
	}
	parsed, err := time.ParseDuration(word)
	if err != nil {
		return errors.Wrap(err, "read a duration; durations look like 1.5s or 20ms")
	}
	*d = duration(parsed)
	return nil
}

// errNoEvent reports a JSON line that names no event.
var errNoEvent = errors.New("the line names no event; give the log of a box")

// ParseLine reads one line. Text before its first brace is skipped: collectors
// of logs put a time or a name there.
func ParseLine(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errors.New("the line holds no JSON object; give the log of a box")
	}
	var b lineBody
	if err := json.Unmarshal(text[start:], &b); err != nil {
		return Line{}, errors.Wrap(err, "the line is no log line of a box")
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
	}, nil
}

// Skipped tells of lines that could not be read.
type Skipped struct {
	Count      int    `json:"count"`
	First      int    `json:"first_line"` // its number, from 1
	FirstError string `json:"why"`        // of the first one
}

// read gives each line of a log to a function and counts those that can't be read.
func read(from io.Reader, take func(Line)) (lines int, skipped Skipped, err error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 64<<10), longestLine)
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
		take(line)
	}
	return lines, skipped, errors.Wrapf(scanner.Err(), "read the log after line %d", lines)
}
