package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"regexp"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// maxLogLine bounds the length of a line in a box's log, in bytes.
	maxLogLine = 1 << 20
	// maxQuotedLines bounds the log lines that a report quotes.
	maxQuotedLines = 60
	// sendTime bounds the time from a box's decision to send a request until it runs.
	sendTime = 500 * time.Millisecond
)

// requestID matches the IDs of requests in texts of violations.
var requestID = regexp.MustCompile(`s\d+-b\d+-[\w-]+`)

// logLine is a line of a box's log.
type logLine struct {
	At      time.Time `json:"at"`
	Event   string    `json:"event"`
	Version uint64    `json:"version"`
}

// readLog calls handle with the lines of the box's log.
func (b *boxProcess) readLog(handle func(logLine)) error {
	return b.readLines(func(text []byte) {
		var l logLine
		// A killed box may have left an incomplete line.
		if json.Unmarshal(text, &l) == nil {
			handle(l)
		}
	})
}

// readLines calls handle with the lines of the box's log as text that is only valid during the call.
func (b *boxProcess) readLines(handle func(text []byte)) error {
	log, err := os.Open(b.log.Name())
	if err != nil {
		return err
	}
	defer log.Close()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		handle(lines.Bytes())
	}
	return lines.Err()
}

// quoteLogs adds the boxes' log lines about the requests that violations name to the report.
func (r *Report) quoteLogs(f *fleet) error {
	named := make(map[string]bool)
	for _, violation := range r.Violations {
		for _, id := range requestID.FindAllString(violation, -1) {
			named[id] = true
		}
	}
	for _, b := range f.boxes {
		err := b.readLines(func(text []byte) {
			for _, id := range requestID.FindAllString(string(text), -1) {
				if named[id] && len(r.LogLines) < maxQuotedLines {
					r.LogLines = append(r.LogLines, b.settings.Name+" "+string(text))
					return
				}
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkLogs counts the requests that waited for room, and checks against the boxes' logs that no
// request runs whose key was revoked while it waited.
func (r *Report) checkLogs(f *fleet, i *injector, results []callResult) error {
	revokedAt := make([]time.Time, len(f.boxes)) // when each box applied the revocation
	for n, b := range f.boxes {
		err := b.readLog(func(l logLine) {
			switch {
			case l.Event == "waiting for room":
				r.Waits++
			case l.Event == "configuration in force" && i.revokedVersion > 0 && l.Version >= i.revokedVersion && revokedAt[n].IsZero():
				revokedAt[n] = l.At
			}
		})
		if err != nil {
			return err
		}
	}
	// A store that is restored from an older copy may bring back a revoked key.
	if !restoresStore(r.Seed) {
		r.checkRevokedRuns(f, results, revokedAt)
	}
	return nil
}

// checkRevokedRuns checks that no request whose key was revoked begins to run after its box has
// applied the revocation, however long the request waited before.
func (r *Report) checkRevokedRuns(f *fleet, results []callResult, revokedAt []time.Time) {
	disturbed := make(map[string]bool)
	for _, s := range f.servers {
		disturbed[s.ID] = s.disturbed
	}
	runs := f.deployment.Runs()
	for _, s := range results {
		if s.key != emulator.OtherKey || revokedAt[s.box].IsZero() || !f.isUndisturbed(s.box) || len(runs[s.ID]) == 0 {
			continue
		}
		first := runs[s.ID][0]
		for _, run := range runs[s.ID] {
			if run.StartedAt.Before(first.StartedAt) {
				first = run
			}
		}
		if late := first.StartedAt.Sub(revokedAt[s.box]); late > sendTime && !disturbed[first.Server] {
			r.addViolation("CONFIG: %s was sent to a server %s after its box had applied the revocation of its key", s.ID, late)
		}
	}
}
