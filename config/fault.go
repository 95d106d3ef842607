package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong in a document.
type Fault struct {
	File    string
	Line    int
	Problem string
	Remedy  string
	Warning bool
}

// String gives file, line, what is wrong and the remedy.
func (f Fault) String() string {
	kind := "error"
	if f.Warning {
		kind = "warning"
	}
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, kind, f.Problem, f.Remedy)
}

// Faults is the error of a document that is not accepted.
type Faults []Fault

// Error lists every fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// sorted gives the faults by line, the same in every run.
func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Problem, b.Problem))
	})
	return f
}

// Fatal reports whether any fault forbids putting the document in force.
func (f Faults) Fatal() bool {
	for _, fault := range f {
		if !fault.Warning {
			return true
		}
	}
	return false
}
