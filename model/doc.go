// Package model is a small specification of the core protocol and its checker.
//
// Each specification is a set of states whose transitions call the real core,
// and faults are transitions like any other. The checker explores all states up
// to stated bounds breadth first, so that the first break found is a shortest
// one, and prints it as a trace.
//
// What is abstracted away: bytes, codecs and sockets; time moves in whole steps
// of the specification's own; an endpoint makes at most a few tokens; a message
// is lost, doubled, late or crossed as a whole. docs/PROOFS.md lists the bounds.
package model
