package clock

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// driftLeast is by how much the time of day must have moved against the steady clock
	// for the system to be asked: far above what is corrected between two looks, and below
	// the shortest of the ages that matter, that of a resting connection.
	driftLeast = 100 * time.Millisecond
	// suspendedLeast is the shortest suspension that is told; less is the time between the
	// readings of the two clocks.
	suspendedLeast = 50 * time.Millisecond
)

// Readings are the system's two clocks since its start.
type Readings struct {
	Boot   time.Duration // with the time in which the machine was suspended
	Steady time.Duration // without
}

// Drift gives how far the time of day is ahead of the steady clock, from any origin.
type Drift func() time.Duration

// SuspensionDetector finds out that the machine was suspended, before anything else is decided by
// ages. A look costs no system call: the time of day moves against the steady clock then,
// and only when it did is the system asked whether it was a suspension or a step of the
// time of day.
type SuspensionDetector struct {
	drift       Drift
	read        func() (Readings, error)
	onSuspended func(time.Duration)
	onFault     func(error)

	mu      sync.Mutex
	drifted time.Duration  // as last seen
	gap     *time.Duration // between the system's clocks, as last read; nil before
}

// Option changes how suspensions are found.
type Option func(*SuspensionDetector)

// WithClocks gives the clocks; without it, they are the system's.
func WithClocks(drift Drift, read func() (Readings, error)) Option {
	return func(s *SuspensionDetector) {
		s.drift = drift
		s.read = read
	}
}

// WithErrorHandler is called when the clocks can't be read.
func WithErrorHandler(onFault func(error)) Option {
	return func(s *SuspensionDetector) { s.onFault = onFault }
}

// New begins at the present; onSuspended is called with the length of each suspension, and
// who looks meanwhile waits until it has returned.
func New(onSuspended func(time.Duration), options ...Option) *SuspensionDetector {
	s := &SuspensionDetector{
		drift:       driftSince(time.Now()),
		read:        read,
		onSuspended: onSuspended,
		onFault:     func(error) {},
	}
	for _, o := range options {
		o(s)
	}
	s.drifted = s.drift()
	s.readGap()
	return s
}

// Check tells of a suspension since the last look, if there was one.
func (s *SuspensionDetector) Check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	drifted := s.drift()
	if (drifted - s.drifted).Abs() < driftLeast {
		return
	}
	s.drifted = drifted
	if suspended := s.readGap(); suspended >= suspendedLeast {
		s.onSuspended(suspended)
	}
}

// driftSince reckons from a time that carries both readings.
func driftSince(origin time.Time) Drift {
	return func() time.Duration {
		now := time.Now()
		return now.Round(0).Sub(origin.Round(0)) - now.Sub(origin)
	}
}

// readGap gives how long the machine was suspended since the clocks were last read. Clocks
// that can't be read, or never were before, tell of no suspension.
func (s *SuspensionDetector) readGap() time.Duration {
	r, err := s.read()
	if err != nil {
		s.onFault(err)
		return 0
	}
	gap := r.Boot - r.Steady
	before := s.gap
	s.gap = &gap
	if before == nil {
		return 0
	}
	return gap - *before
}

// read reads the system's clocks. The steady one is read twice, since the process may wait
// between two readings.
func read() (Readings, error) {
	before, err := readOne(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Readings{}, err
	}
	boot, err := readOne(unix.CLOCK_BOOTTIME)
	if err != nil {
		return Readings{}, err
	}
	after, err := readOne(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Readings{}, err
	}
	return Readings{
		Boot:   boot,
		Steady: before + (after-before)/2,
	}, nil
}

func readOne(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, errors.Wrapf(err, "read clock %d; suspensions of the machine aren't noticed", id)
	}
	return time.Duration(t.Nano()), nil
}
