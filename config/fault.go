package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one problem in a document, fatal unless it is a warning.
type Fault struct {
	File    string
	Line    int
	Problem string
	Remedy  string
	Warning bool
}

// String formats the fault as file, line, problem and remedy.
func (f Fault) String() string {
	kind := "error"
	if f.Warning {
		kind = "warning"
	}
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, kind, f.Problem, f.Remedy)
}

// Faults is the error returned for a rejected document.
type Faults []Fault

// Error lists every fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the faults by line and problem, and returns them.
func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Problem, b.Problem))
	})
	return f
}

// Fatal reports whether any of the faults prevents the use of the document.
func (f Faults) Fatal() bool {
	for _, fault := range f {
		if !fault.Warning {
			return true
		}
	}
	return false
}
