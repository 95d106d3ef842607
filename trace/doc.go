// Package trace records the events handled by a node's core, one JSON object per line, and
// decodes them for replay.
package trace
