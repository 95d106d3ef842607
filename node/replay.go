package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/trace"
)

// Mismatch is an expectation of a trace that a replay did not meet.
type Mismatch struct {
	Line int
	Want string
	Got  []string
}

// Error names the line, the expectation and the actual commands.
func (m *Mismatch) Error() string {
	got := strings.Join(m.Got, "; ")
	if got == "" {
		got = "no command"
	}
	return fmt.Sprintf("line %d: expected %q, got %s", m.Line, m.Want, got)
}

// Report is the result of a replay.
type Report struct {
	Events       int
	Expectations int // checked, including the mismatches
	Mismatches   []*Mismatch
}

// Replay applies the events of a trace to a node in virtual time. A line's
// expectation describes the commands that its aggregate returned since the previous
// expectation: "Name Field=Value ..." must match one of them, the same with a
// leading "!" none of them, and "nothing" means that there are none.
func Replay(in io.Reader, options ...Option) (*Report, error) {
	r := &replay{
		node:     New(options...),
		commands: make(map[string][]core.Command),
		report:   &Report{},
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		if err := r.processLine(number, text); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
	}
	return r.report, errors.Wrap(lines.Err(), "read the trace")
}

// maxLine is the maximum length of a line of a trace, in bytes.
const maxLine = 8 << 20

// replay is the state of a replay: commands holds, by aggregate, the commands since
// its last expectation.
type replay struct {
	node     *Node
	commands map[string][]core.Command
	report   *Report
}

func (r *replay) processLine(number int, text string) error {
	var l trace.Line
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		return errors.Wrap(err, "parse a line of the trace; docs/TRACES.md describes the format")
	}
	now := trace.Epoch().Add(time.Duration(l.At))
	if l.Event != "" {
		ev, err := trace.Decode(l.Event, l.Data)
		if err != nil {
			return err
		}
		commands, err := r.node.Step(now, l.On, ev)
		if err != nil {
			return err
		}
		r.report.Events++
		r.commands[l.On] = append(r.commands[l.On], commands...)
	}
	if l.Expect != "" {
		r.checkExpectation(number, l)
	}
	return nil
}

// checkExpectation compares a line's expectation with the collected commands.
func (r *replay) checkExpectation(number int, l trace.Line) {
	r.report.Expectations++
	commands := r.commands[l.On]
	r.commands[l.On] = nil
	if isMet(l.Expect, commands) {
		return
	}
	m := &Mismatch{
		Line: number,
		Want: l.Expect,
	}
	for _, c := range commands {
		m.Got = append(m.Got, describe(c))
	}
	r.report.Mismatches = append(r.report.Mismatches, m)
}

// isMet reports whether the commands meet an expectation.
func isMet(expectation string, commands []core.Command) bool {
	if expectation == "nothing" {
		return len(commands) == 0
	}
	pattern, isNegated := strings.CutPrefix(expectation, "!")
	for _, c := range commands {
		if matchesPattern(strings.Fields(pattern), c) {
			return !isNegated
		}
	}
	return isNegated
}

// matchesPattern reports whether a command has the type and field values of a
// pattern.
func matchesPattern(fields []string, c core.Command) bool {
	v := reflect.ValueOf(c)
	if len(fields) == 0 || v.Type().Name() != fields[0] {
		return false
	}
	for _, condition := range fields[1:] {
		name, value, _ := strings.Cut(condition, "=")
		field := v.FieldByName(name)
		if !field.IsValid() || fmt.Sprint(field.Interface()) != value {
			return false
		}
	}
	return true
}

// describe formats a command as its type and non-zero fields.
func describe(c core.Command) string {
	v := reflect.ValueOf(c)
	var b strings.Builder
	b.WriteString(v.Type().Name())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous || !f.IsExported() || v.Field(i).IsZero() {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", f.Name, v.Field(i).Interface())
	}
	return b.String()
}
