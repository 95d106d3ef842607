// Package policy compiles and evaluates the operators' policy programs.
//
// A program is a CEL expression over one request and the current load. Its type
// is checked when it is compiled, and its cost is bounded when it is evaluated,
// so every evaluation ends.
package policy
