package clock

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// minDrift is by how much the time of day must have moved against the steady clock
	// for the system to be asked: far above what is corrected between two looks, and below
	// the shortest of the ages that matter, that of a resting connection.
	minDrift = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is told; less is the time between the
	// readings of the two clocks.
	minSuspension = 50 * time.Millisecond
)

// Readings are the system's two clocks since its start.
type Readings struct {
	Boot      time.Duration // with the time in which the machine was suspended
	Monotonic time.Duration // without
}

// DriftFunc gives how far the time of day is ahead of the steady clock, from any origin.
type DriftFunc func() time.Duration

// SuspensionDetector finds out that the machine was suspended, before anything else is decided by
// ages. A look costs no system call: the time of day moves against the steady clock then,
// and only when it did is the system asked whether it was a suspension or a step of the
// time of day.
type SuspensionDetector struct {
	drift        DriftFunc
	readClocks   func() (Readings, error)
	onSuspension func(time.Duration)
	onError      func(error)

	mu            sync.Mutex
	observedDrift time.Duration  // as last seen
	gap           *time.Duration // between the system's clocks, as last read; nil before
}

// Option changes how suspensions are found.
type Option func(*SuspensionDetector)

// WithClocks gives the clocks; without it, they are the system's.
func WithClocks(drift DriftFunc, readClocks func() (Readings, error)) Option {
	return func(s *SuspensionDetector) {
		s.drift = drift
		s.readClocks = readClocks
	}
}

// WithErrorHandler is called when the clocks can't be read.
func WithErrorHandler(onError func(error)) Option {
	return func(s *SuspensionDetector) { s.onError = onError }
}

// New begins at the present; onSuspended is called with the length of each suspension, and
// who looks meanwhile waits until it has returned.
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

// Check tells of a suspension since the last look, if there was one.
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

// driftSince reckons from a time that carries both readings.
func driftSince(origin time.Time) DriftFunc {
	return func() time.Duration {
		now := time.Now()
		return now.Round(0).Sub(origin.Round(0)) - now.Sub(origin)
	}
}

// updateGap gives how long the machine was suspended since the clocks were last read. Clocks
// that can't be read, or never were before, tell of no suspension.
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

// readClocks reads the system's clocks. The steady one is read twice, since the process may wait
// between two readings.
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
		return 0, errors.Wrapf(err, "read clock %d; suspensions of the machine aren't noticed", id)
	}
	return time.Duration(t.Nano()), nil
}
