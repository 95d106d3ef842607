// Package model is an executable specification of the core protocol and a
// checker for it.
//
// A specification is a set of states whose transitions call the core's own code.
// Faults are transitions like any other. The checker explores all states up to
// given bounds breadth first, so that the first violation that it finds has a
// shortest trace, which it prints.
//
// The specifications leave out bytes, codecs and sockets. Time advances in whole
// steps, a generation has at most a few tokens, and a message is lost, duplicated,
// delayed or delivered to the wrong request as a whole. docs/PROOFS.md lists the
// bounds.
package model
