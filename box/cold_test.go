package box_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// A server that had just come back got ten requests in a second where nine and a half
// were allowed, and would have fallen over under more: each of the boxes knew that it was
// cold, took it for the one with the least to do, and none knew what the others sent. The
// evidence: ten arrivals from eight boxes within 0.9 s, each the first of its box.
var _ = Describe("a cold server", func() {
	const (
		perSecond = 3.0
		most      = perSecond*1.5 + 5 // in any second, as the boxes' settings say
		count     = 4
		joined    = 6 * time.Second // by then boxes have their parts of what is divided
	)
	var d *emulator.Deployment
	var boxes []*started
	BeforeEach(func() {
		d = newDeployment()
		document := emulator.NewDocument(2)
		for _, s := range document.Services {
			s["coldPerS"] = perSecond
		}
		d.Publish(document)
	})
	start := func() {
		boxes = startReady(d, count)
		time.Sleep(joined)
	}
	coldServer := func(id string) *emulator.Server {
		s, err := d.Add(id, emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		s.ColdRemaining = time.Minute
		d.List(s, emulator.PlainService, "ready")
		return s
	}
	It("gets no more in any second than it bears from all boxes together", func() {
		s := coldServer("i-cold")
		warm, err := d.Add("i-warm", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		warm.WorkTime = 300 * time.Millisecond
		start()
		got := load(boxes, 3*time.Second)
		Expect(got).To(HaveLen(1))
		Expect(got).To(HaveKey(http.StatusOK))
		Expect(emulator.MaxArrivalsWithin(s.Arrivals(time.Time{}), time.Second)).To(BeNumerically("<=", most))
		Expect(s.Runs()).NotTo(BeEmpty())
		Expect(len(warm.Runs())).To(BeNumerically(">", len(s.Runs())))
	})

	It("serves what it bears where all are cold, and the rest is refused at once as not run", func() {
		s := coldServer("i-cold")
		start()
		got := load(boxes, 3*time.Second)
		Expect(emulator.MaxArrivalsWithin(s.Arrivals(time.Time{}), time.Second)).To(BeNumerically("<=", most))
		Expect(got[http.StatusOK]).To(BeNumerically(">=", 12))
		Expect(got[http.StatusServiceUnavailable]).To(BeNumerically(">", got[http.StatusOK]))
		Expect(got).To(HaveLen(2))
		Expect(s.Runs()).To(HaveLen(got[http.StatusOK]))
	})

	It("is taken for cold when its zone was taken back, whatever its entry says yet", func() {
		far, err := d.AddIn("zone-b", "i-far", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		_, err = d.Add("i-near", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		d.Drain("zone-b")
		start()
		load(boxes, 500*time.Millisecond)
		Expect(far.Runs()).To(BeEmpty())
		d.EndDrain("zone-b")
		load(boxes, 2*time.Second)
		Expect(far.Runs()).NotTo(BeEmpty())
		Expect(emulator.MaxArrivalsWithin(far.Arrivals(time.Time{}), time.Second)).To(BeNumerically("<=", most))
	})
})
