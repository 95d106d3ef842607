package clock_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/clock"
)

// machine is a machine's three clocks.
type machine struct {
	readings clock.Readings
	step     time.Duration // of the time of day
	asked    int
	fault    error
}

func (m *machine) read() (clock.Readings, error) {
	m.asked++
	return m.readings, m.fault
}

// drift is how far the time of day, which goes on while the machine is suspended, is ahead.
func (m *machine) drift() time.Duration { return m.readings.Boot + m.step - m.readings.Steady }

func (m *machine) run(d time.Duration) {
	m.readings.Boot += d
	m.readings.Steady += d
}

func (m *machine) suspend(d time.Duration) { m.readings.Boot += d }

var _ = Describe("suspensions", func() {
	var m *machine
	var told []time.Duration
	faults := 0
	var s *clock.SuspensionDetector
	begin := func() {
		told, faults = nil, 0
		s = clock.New(func(d time.Duration) { told = append(told, d) },
			clock.WithClocks(m.drift, m.read),
			clock.WithErrorHandler(func(error) { faults++ }))
	}
	BeforeEach(func() { m = &machine{} })

	It("are told from steps of the time of day, and looked for without a system call", func() {
		begin()
		m.run(time.Hour)
		s.Check()
		Expect(m.asked).To(Equal(1))

		m.suspend(3 * time.Second)
		s.Check()
		s.Check()
		Expect(told).To(Equal([]time.Duration{3 * time.Second}))

		m.step = -2 * time.Second
		s.Check()
		m.step = 0
		s.Check()
		Expect(told).To(HaveLen(1))

		m.run(time.Second)
		m.suspend(700 * time.Millisecond)
		m.step = 5 * time.Second
		s.Check()
		Expect(told).To(Equal([]time.Duration{3 * time.Second, 700 * time.Millisecond}))
	})

	It("aren't told while the clocks can't be read, nor what came before their first reading", func() {
		m.fault = errors.New("no such clock")
		begin()
		m.suspend(time.Second)
		s.Check()
		Expect(faults).To(Equal(2))
		m.fault = nil
		m.suspend(time.Second)
		s.Check()
		Expect(told).To(BeEmpty())
	})

	It("are looked for by the system's own clocks", func() {
		s := clock.New(func(d time.Duration) { Fail("suspended for " + d.String()) },
			clock.WithErrorHandler(func(err error) { Fail(err.Error()) }))
		s.Check()
	})
})
