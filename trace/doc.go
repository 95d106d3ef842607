// Package trace records the events that a node's core was given, one JSON line
// each, and reads them back for replay.
package trace
