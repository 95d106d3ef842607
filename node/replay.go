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

// Mismatch is a stated outcome that a replay did not give.
type Mismatch struct {
	Line int
	Want string
	Got  []string
}

// Error names the line, what was stated and what came.
func (m *Mismatch) Error() string {
	got := strings.Join(m.Got, "; ")
	if got == "" {
		got = "no command"
	}
	return fmt.Sprintf("line %d: stated %q, came %s", m.Line, m.Want, got)
}

// Report is what a replay gave.
type Report struct {
	Events       int
	Expectations int
	Mismatches   []*Mismatch
}

// Replay reads a trace and gives its events to a node in virtual time. A line
// with an expectation states what the commands since the last one on the same
// aggregate hold: "Name Field=Value ..." for one of them, with "!" before it for
// none of them, or "nothing".
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
		if err := r.line(number, text); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
	}
	return r.report, errors.Wrap(lines.Err(), "read the trace")
}

// maxLine bounds one line of a trace, in bytes.
const maxLine = 8 << 20

type replay struct {
	node     *Node
	commands map[string][]core.Command
	report   *Report
}

func (r *replay) line(number int, text string) error {
	var l trace.Line
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		return errors.Wrap(err, "not a line of a trace; docs/TRACES.md gives the form")
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
		r.expect(number, l)
	}
	return nil
}

func (r *replay) expect(number int, l trace.Line) {
	r.report.Expectations++
	commands := r.commands[l.On]
	r.commands[l.On] = nil
	if holds(l.Expect, commands) {
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

func holds(want string, commands []core.Command) bool {
	if want == "nothing" {
		return len(commands) == 0
	}
	wanted, none := strings.CutPrefix(want, "!")
	for _, c := range commands {
		if matches(strings.Fields(wanted), c) {
			return !none
		}
	}
	return none
}

func matches(parts []string, c core.Command) bool {
	v := reflect.ValueOf(c)
	if len(parts) == 0 || v.Type().Name() != parts[0] {
		return false
	}
	for _, part := range parts[1:] {
		name, value, _ := strings.Cut(part, "=")
		field := v.FieldByName(name)
		if !field.IsValid() || fmt.Sprint(field.Interface()) != value {
			return false
		}
	}
	return true
}

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
