// Package trace records the events that the decision core of a box handles, one JSON object per
// line, and decodes them for replay.
package trace
