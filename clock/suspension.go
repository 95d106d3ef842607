package clock

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// minDrift is the change in the drift between wall clock and monotonic clock above
	// which the system's clocks are read. It is above the usual clock corrections between
	// two checks, and below the shortest timeout, that of an idle connection.
	minDrift = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is reported. Shorter differences may be
	// the time that passes between reading the two clocks.
	minSuspension = 50 * time.Millisecond
)

// Readings holds the times since the start of the system by its two clocks.
type Readings struct {
	Boot      time.Duration // includes suspensions
	Monotonic time.Duration // excludes suspensions
}

// DriftFunc returns how far the wall clock is ahead of the monotonic clock, plus a constant.
type DriftFunc func() time.Duration

// SuspensionDetector detects that the machine was suspended. A check needs no system call
// unless the wall clock has moved against the monotonic clock; then the system's clocks show
// whether that was a suspension or a step of the wall clock.
type SuspensionDetector struct {
	drift        DriftFunc
	readClocks   func() (Readings, error)
	onSuspension func(time.Duration)
	onError      func(error)

	mu            sync.Mutex
	observedDrift time.Duration  // at the last check that read the clocks
	gap           *time.Duration // Boot minus Monotonic at the last reading; nil before the first
}

// Option configures a SuspensionDetector.
type Option func(*SuspensionDetector)

// WithClocks replaces the system's clocks.
func WithClocks(drift DriftFunc, readClocks func() (Readings, error)) Option {
	return func(s *SuspensionDetector) {
		s.drift = drift
		s.readClocks = readClocks
	}
}

// WithErrorHandler sets a function to call when the clocks can't be read.
func WithErrorHandler(onError func(error)) Option {
	return func(s *SuspensionDetector) { s.onError = onError }
}

// New returns a detector of suspensions from now on. Check calls onSuspension with the length
// of a suspension; concurrent calls of Check wait until it has returned.
func New(onSuspension func(time.Duration), options ...Option) *SuspensionDetector {
	s := &SuspensionDetector{
		drift:        driftSince(time.Now()),
		readClocks:   readClocks,
		onSuspension: onSuspension,
		onError:      func(error) {},
	}
	for _, o := range options {
		o(s)
	}
	s.observedDrift = s.drift()
	s.updateGap()
	return s
}

// Check reports a suspension since the last check to onSuspension.
func (s *SuspensionDetector) Check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	observedDrift := s.drift()
	if (observedDrift - s.observedDrift).Abs() < minDrift {
		return
	}
	s.observedDrift = observedDrift
	if suspended := s.updateGap(); suspended >= minSuspension {
		s.onSuspension(suspended)
	}
}

// driftSince returns the drift since origin, which must have a monotonic reading.
func driftSince(origin time.Time) DriftFunc {
	return func() time.Duration {
		now := time.Now()
		return now.Round(0).Sub(origin.Round(0)) - now.Sub(origin)
	}
}

// updateGap reads the clocks and returns how long the machine was suspended since they were
// last read. It returns 0 if the clocks can't be read or haven't been read before.
func (s *SuspensionDetector) updateGap() time.Duration {
	r, err := s.readClocks()
	if err != nil {
		s.onError(err)
		return 0
	}
	gap := r.Boot - r.Monotonic
	previous := s.gap
	s.gap = &gap
	if previous == nil {
		return 0
	}
	return gap - *previous
}

// readClocks reads the system's clocks. It reads the monotonic clock before and after the other
// one and takes the mean, since the process may be delayed between two readings.
func readClocks() (Readings, error) {
	before, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Readings{}, err
	}
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return Readings{}, err
	}
	after, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Readings{}, err
	}
	return Readings{
		Boot:      boot,
		Monotonic: before + (after-before)/2,
	}, nil
}

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, errors.Wrapf(err, "read clock %d; suspensions of the machine can't be detected", id)
	}
	return time.Duration(t.Nano()), nil
}
