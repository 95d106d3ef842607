// Package losses reads the log lines of boxes and tells which requests ended
// without their answer or late, by route, by the moment in their lives and by
// cause, and what callers felt: the wait for the first event and the pauses
// between events.
package losses
