package clock_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/clock"
)

// machine simulates the clocks of a machine.
type machine struct {
	readings clock.Readings
	timeStep time.Duration // step of the wall clock
	reads    int
	readErr  error
}

func (m *machine) read() (clock.Readings, error) {
	m.reads++
	return m.readings, m.readErr
}

// drift returns how far the wall clock, which includes suspensions, is ahead.
func (m *machine) drift() time.Duration { return m.readings.Boot + m.timeStep - m.readings.Monotonic }

func (m *machine) run(d time.Duration) {
	m.readings.Boot += d
	m.readings.Monotonic += d
}

func (m *machine) suspend(d time.Duration) { m.readings.Boot += d }

var _ = Describe("the suspension detector", func() {
	var m *machine
	var reported []time.Duration
	errorCount := 0
	var s *clock.SuspensionDetector
	start := func() {
		reported, errorCount = nil, 0
		s = clock.New(func(d time.Duration) { reported = append(reported, d) },
			clock.WithClocks(m.drift, m.read),
			clock.WithErrorHandler(func(error) { errorCount++ }))
	}
	BeforeEach(func() { m = &machine{} })

	It("distinguishes suspensions from wall clock steps, and reads the clocks only on drift", func() {
		start()
		m.run(time.Hour)
		s.Check()
		Expect(m.reads).To(Equal(1))

		m.suspend(3 * time.Second)
		s.Check()
		s.Check()
		Expect(reported).To(Equal([]time.Duration{3 * time.Second}))

		m.timeStep = -2 * time.Second
		s.Check()
		m.timeStep = 0
		s.Check()
		Expect(reported).To(HaveLen(1))

		m.run(time.Second)
		m.suspend(700 * time.Millisecond)
		m.timeStep = 5 * time.Second
		s.Check()
		Expect(reported).To(Equal([]time.Duration{3 * time.Second, 700 * time.Millisecond}))
	})

	It("reports no suspension while the clocks can't be read, or from before they first were", func() {
		m.readErr = errors.New("clock unavailable")
		start()
		m.suspend(time.Second)
		s.Check()
		Expect(errorCount).To(Equal(2))
		m.readErr = nil
		m.suspend(time.Second)
		s.Check()
		Expect(reported).To(BeEmpty())
	})

	It("reads the system's clocks by default", func() {
		s := clock.New(func(d time.Duration) { Fail("suspended for " + d.String()) },
			clock.WithErrorHandler(func(err error) { Fail(err.Error()) }))
		s.Check()
	})
})
