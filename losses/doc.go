// Package losses analyzes the logs of boxes. It reports which requests ended without
// an answer or late, by route, moment and cause, and the latency that callers saw: the
// time to the first event and the pauses between events.
package losses
