// Package core implements the decisions of the protocol as state machines
// without side effects.
//
// Each state machine is an aggregate: a value whose Step method applies an event
// at a given time, updates the state and returns commands for the caller (the
// shell) to carry out. The package starts no goroutines, reads no clock, opens no
// sockets and draws no random numbers, so the same code runs in production, in
// the model checker and in trace replay. Times come from the shell's monotonic
// clock and are only compared and added.
//
// Recorded traces contain the names of event and command types and of their fields;
// renaming them makes old traces unreadable.
package core
