// Package clock detects suspensions of the machine. The monotonic clock stands still
// during a suspension, so ages computed from it are too low afterwards.
package clock
