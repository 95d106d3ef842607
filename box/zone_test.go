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

// The operator asked that nothing further be sent to a zone's servers and, on two days of
// a fleet of 62 boxes, 402 and 2,283 requests reached them later than five seconds after
// that was confirmed: boxes read the store's entries of servers and the configuration, and
// passed over the entry that asks for it. The evidence: no line of any box's log names the
// zone, and its placements there go on at the same rate.
var _ = Describe("a zone that the operator drains", func() {
	const bound = 3 * time.Second // as the boxes' settings say
	var d *emulator.Deployment
	var boxes []*started
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
			Expect(emulator.WaitReady(b.settings.Ready, patience)).To(Succeed())
			DeferCleanup(b.Stop)
		}
	}
	call := func(b *started) int {
		sent++
		return b.call(fmt.Sprintf("z%d", sent)).Status
	}
	// reached tells whether requests of a box reach a server.
	reached := func(b *started, s *emulator.Server) bool {
		before := len(s.Runs())
		for range 6 {
			call(b)
		}
		return len(s.Runs()) > before
	}
	avoids := func(s *emulator.Server) {
		for _, b := range boxes {
			Eventually(reached).WithArguments(b, s).WithTimeout(bound).Should(BeFalse())
		}
		for _, b := range boxes {
			Consistently(reached).WithArguments(b, s).WithTimeout(200 * time.Millisecond).Should(BeFalse())
		}
	}
	uses := func(s *emulator.Server) {
		for _, b := range boxes {
			Eventually(reached).WithArguments(b, s).WithTimeout(patience).Should(BeTrue())
		}
	}

	It("gets no new requests until it is taken back", func() {
		start(2)
		uses(near)
		d.Drain("zone-a")
		avoids(near)
		d.EndDrain("zone-a")
		uses(near)
		d.Drain("zone-a")
		avoids(near)
	})

	It("gets none though its entry can't be read, and others of zones without servers stand beside it", func() {
		start(1)
		uses(near)
		d.Drain("zone-without-servers")
		d.Store.PutBytes("op/evacuate/", []byte("{}"))
		d.Store.PutBytes("op/evacuate/zone-a", []byte("\xff\x00"))
		avoids(near)
		uses(far)
	})

	It("gets none from a box that starts while the store is away, by its peers' word", func() {
		start(1)
		d.Drain("zone-a")
		avoids(near)
		d.Store.SetFault(emulator.StoreSilent, 0)
		boxes = append(boxes, startBoxesBeside(d, boxes[0].settings.Peer, 1)...)
		DeferCleanup(boxes[1].Stop)
		Expect(emulator.WaitReady(boxes[1].settings.Ready, patience)).To(Succeed())
		before := len(near.Runs())
		for range 20 {
			Expect(call(boxes[1])).To(Equal(http.StatusOK))
		}
		Expect(near.Runs()).To(HaveLen(before))
	})

	It("gets none after the store dropped its history, and is known to be taken back after it", func() {
		start(2)
		d.Drain("zone-a")
		d.Store.Compact()
		avoids(near)
		d.EndDrain("zone-a")
		d.Store.Compact()
		uses(near)
	})

	It("leaves a service without servers, whose requests are refused at once as not run", func() {
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

	It("serves the streams that are under way there to their end", func() {
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
		Eventually(func() int { return len(s.Runs()) }).WithTimeout(patience).Should(Equal(1))
		d.Drain("zone-a")
		avoids(near)
		var o emulator.Outcome
		Eventually(ended).WithTimeout(patience).Should(Receive(&o))
		Expect(o.IsComplete).To(BeTrue())
		Expect(o.Events).To(Equal(20))
		Expect(s.Runs()).To(HaveLen(1))
	})
})
