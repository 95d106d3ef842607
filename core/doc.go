// Package core holds the protocol decisions of one node as pure aggregates.
//
// Each aggregate is a value with a Step method, (state, event, now) ->
// commands. Nothing here starts a goroutine, reads a clock, opens a socket or
// draws a random number, so the same code runs in the processes, under the
// model checker and under replay. Times are monotonic readings given by the
// caller; an aggregate only compares and adds them.
package core
