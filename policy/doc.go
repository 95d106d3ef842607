// Package policy compiles the operators' short programs and evaluates them.
//
// A program is a CEL expression over one request and the load it meets. It is
// type-checked and cost-bounded when it is compiled, so that a published
// configuration can hold no program that fails to end.
package policy
