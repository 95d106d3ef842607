package clock_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
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

func TestSuspensionsAreToldFromStepsOfTheTimeOfDay(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{}
	var told []time.Duration
	s := clock.New(func(d time.Duration) { told = append(told, d) }, clock.WithClocks(m.drift, m.read))

	m.run(time.Hour)
	s.Look()
	g.Expect(m.asked).To(gomega.Equal(1), "a look is free while nothing moves")

	m.suspend(3 * time.Second)
	s.Look()
	s.Look()
	g.Expect(told).To(gomega.Equal([]time.Duration{3 * time.Second}))

	m.step = -2 * time.Second
	s.Look()
	m.step = 0
	s.Look()
	g.Expect(told).To(gomega.HaveLen(1))

	m.run(time.Second)
	m.suspend(700 * time.Millisecond)
	m.step = 5 * time.Second
	s.Look()
	g.Expect(told).To(gomega.Equal([]time.Duration{3 * time.Second, 700 * time.Millisecond}))
}

func TestClocksThatCannotBeReadTellOfNoSuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{fault: errors.New("no such clock")}
	faults := 0
	s := clock.New(func(time.Duration) { t.Error("a suspension was told") },
		clock.WithClocks(m.drift, m.read), clock.WithOnFault(func(error) { faults++ }))
	m.suspend(time.Second)
	s.Look()
	g.Expect(faults).To(gomega.Equal(2))
	m.fault = nil
	m.suspend(time.Second)
	s.Look() // what came before the first reading isn't known
}

func TestTheSystemsClocksAreRead(t *testing.T) {
	s := clock.New(func(d time.Duration) { t.Errorf("suspended for %s", d) },
		clock.WithOnFault(func(err error) { t.Error(err) }))
	s.Look()
}
