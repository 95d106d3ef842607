package box_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against boxes that ignore the store's entry of a drained zone.
var _ = Describe("a zone that the operator drains", func() {
	const bound = 3 * time.Second // the zone bound of the boxes' settings
	var d *emulator.Deployment
	var boxes []*testBox
	var near, far *emulator.Server
	sent := 0
	BeforeEach(func() {
		var err error
		d, err = emulator.NewDeployment()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		near, err = d.AddIn("zone-a", "i-1", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		far, err = d.AddIn("zone-b", "i-2", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
	})
	start := func(n int) {
		boxes = startBoxes(d, n)
		for _, b := range boxes {
			Expect(emulator.WaitReady(b.settings.Ready, waitTimeout)).To(Succeed())
			DeferCleanup(b.Stop)
		}
	}
	call := func(b *testBox) int {
		sent++
		return b.call(fmt.Sprintf("z%d", sent)).Status
	}
	// receivesRequests reports whether requests to a box reach a server.
	receivesRequests := func(b *testBox, s *emulator.Server) bool {
		before := len(s.Runs())
		for range 6 {
			call(b)
		}
		return len(s.Runs()) > before
	}
	expectAvoided := func(s *emulator.Server) {
		for _, b := range boxes {
			Eventually(receivesRequests).WithArguments(b, s).WithTimeout(bound).Should(BeFalse())
		}
		for _, b := range boxes {
			Consistently(receivesRequests).WithArguments(b, s).WithTimeout(200 * time.Millisecond).Should(BeFalse())
		}
	}
	expectUsed := func(s *emulator.Server) {
		for _, b := range boxes {
			Eventually(receivesRequests).WithArguments(b, s).WithTimeout(waitTimeout).Should(BeTrue())
		}
	}

	It("gets no new requests until the drain ends", func() {
		start(2)
		expectUsed(near)
		d.Drain("zone-a")
		expectAvoided(near)
		d.EndDrain("zone-a")
		expectUsed(near)
		d.Drain("zone-a")
		expectAvoided(near)
	})

	It("gets none if its entry is invalid and there are entries of zones without servers", func() {
		start(1)
		expectUsed(near)
		d.Drain("zone-without-servers")
		d.Store.PutBytes("op/evacuate/", []byte("{}"))
		d.Store.PutBytes("op/evacuate/zone-a", []byte("\xff\x00"))
		expectAvoided(near)
		expectUsed(far)
	})

	It("gets none from a box that starts while the store is down and learns of the drain from a peer", func() {
		start(1)
		d.Drain("zone-a")
		expectAvoided(near)
		d.Store.SetFault(emulator.StoreSilent, 0)
		boxes = append(boxes, startBoxesWithSeed(d, boxes[0].settings.Peer, 1)...)
		DeferCleanup(boxes[1].Stop)
		Expect(emulator.WaitReady(boxes[1].settings.Ready, waitTimeout)).To(Succeed())
		before := len(near.Runs())
		for range 20 {
			Expect(call(boxes[1])).To(Equal(http.StatusOK))
		}
		Expect(near.Runs()).To(HaveLen(before))
	})

	It("is drained, and restored, across a compaction of the store's history", func() {
		start(2)
		d.Drain("zone-a")
		d.Store.Compact()
		expectAvoided(near)
		d.EndDrain("zone-a")
		d.Store.Compact()
		expectUsed(near)
	})

	It("leaves a service without servers; its requests are refused at once as not run", func() {
		start(1)
		d.Drain("zone-a")
		d.Drain("zone-b")
		Eventually(call).WithArguments(boxes[0]).WithTimeout(bound).Should(Equal(http.StatusServiceUnavailable))
		before := len(near.Runs()) + len(far.Runs())
		o := boxes[0].call("refused")
		Expect(o.PromisesNotRun()).To(BeTrue())
		Expect(o.RetryAfter).NotTo(BeEmpty())
		Expect(o.Elapsed).To(BeNumerically("<", time.Second))
		Expect(len(near.Runs()) + len(far.Runs())).To(Equal(before))
	})

	It("serves running streams to their end", func() {
		s, err := d.AddIn("zone-a", "e-1", emulator.ModelService)
		Expect(err).NotTo(HaveOccurred())
		s.EventInterval = 100 * time.Millisecond
		s.Events = 20
		start(1)
		ended := make(chan emulator.Outcome, 1)
		go func() {
			ended <- boxes[0].caller.Do(context.Background(), emulator.Call{
				ID:       "stream-1",
				Method:   http.MethodPost,
				Path:     emulator.StreamPath,
				Deadline: 20 * time.Second,
				Tokens:   emulator.Tokens{Prompt: 10, MaxOutput: 80},
			})
		}()
		Eventually(func() int { return len(s.Runs()) }).WithTimeout(waitTimeout).Should(Equal(1))
		d.Drain("zone-a")
		expectAvoided(near)
		var o emulator.Outcome
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(&o))
		Expect(o.IsComplete).To(BeTrue())
		Expect(o.Events).To(Equal(20))
		Expect(s.Runs()).To(HaveLen(1))
	})
})
