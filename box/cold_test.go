package box_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against several boxes sending to a server that is warming up without counting
// each other's requests.
var _ = Describe("a cold server", func() {
	const (
		perSecond    = 3.0
		maxPerSecond = perSecond*1.5 + 5 // overshoot and slack of the boxes' settings
		boxCount     = 4
		settleTime   = 6 * time.Second // until boxes have received their rate shares
	)
	var d *emulator.Deployment
	var boxes []*testBox
	BeforeEach(func() {
		d = newDeployment()
		document := emulator.NewDocument(2)
		for _, s := range document.Services {
			s["coldPerS"] = perSecond
		}
		d.Publish(document)
	})
	start := func() {
		boxes = startReadyBoxes(d, boxCount)
		time.Sleep(settleTime)
	}
	coldServer := func(id string) *emulator.Server {
		s, err := d.Add(id, emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		s.ColdRemaining = time.Minute
		d.PutEntry(s, emulator.PlainService, "ready")
		return s
	}
	It("gets no more requests in any second than allowed over all boxes", func() {
		s := coldServer("i-cold")
		warm, err := d.Add("i-warm", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		warm.WorkTime = 300 * time.Millisecond
		start()
		got := runLoad(boxes, 3*time.Second)
		Expect(got).To(HaveLen(1))
		Expect(got).To(HaveKey(http.StatusOK))
		Expect(emulator.MaxArrivalsWithin(s.Arrivals(time.Time{}), time.Second)).To(BeNumerically("<=", maxPerSecond))
		Expect(s.Runs()).NotTo(BeEmpty())
		Expect(len(warm.Runs())).To(BeNumerically(">", len(s.Runs())))
	})

	It("serves up to its limit when all servers are cold; other requests are refused at once as not run", func() {
		s := coldServer("i-cold")
		start()
		got := runLoad(boxes, 3*time.Second)
		Expect(emulator.MaxArrivalsWithin(s.Arrivals(time.Time{}), time.Second)).To(BeNumerically("<=", maxPerSecond))
		Expect(got[http.StatusOK]).To(BeNumerically(">=", 12))
		Expect(got[http.StatusServiceUnavailable]).To(BeNumerically(">", got[http.StatusOK]))
		Expect(got).To(HaveLen(2))
		Expect(s.Runs()).To(HaveLen(got[http.StatusOK]))
	})

	It("counts as cold after its zone's drain ended, even if its entry doesn't say so", func() {
		far, err := d.AddIn("zone-b", "i-far", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		near, err := d.Add("i-near", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		near.WorkTime = 300 * time.Millisecond // it is busy, so that the far one is needed
		d.Drain("zone-b")
		start()
		runLoad(boxes, 500*time.Millisecond)
		Expect(far.Runs()).To(BeEmpty())
		d.EndDrain("zone-b")
		runLoad(boxes, 2*time.Second)
		Expect(far.Runs()).NotTo(BeEmpty())
		Expect(emulator.MaxArrivalsWithin(far.Arrivals(time.Time{}), time.Second)).To(BeNumerically("<=", maxPerSecond))
	})
})
