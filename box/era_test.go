package box_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against boxes that ignore a store restored from an older copy until its revisions,
// which restart at the copy's, exceed those seen before.
var _ = Describe("boxes whose store is restored from an older copy", func() {
	// propagationTime bounds the time in which a change of the store reaches all boxes, and
	// restoreGrace the time in which entries that the copy lacks are written again.
	// propagationTime is how long a change of the store may take to be everywhere, and returned how
	// long what the copy lacks has to come back.
	const (
		propagationTime = 2 * time.Second
		restoreGrace    = 2 * time.Second
	)
	var d *emulator.Deployment
	var boxes []*testBox
	BeforeEach(func() { d = newDeployment() })
	add := func(id string) *emulator.Server { return addServer(d, id, emulator.PlainService) }
	start := func() { boxes = startReadyBoxes(d, 3) }
	// waitForLists waits until all boxes have the store's last change.
	waitForLists := func() {
		want := fmt.Sprintf(`"list_changed":%d,"store_era":%d,`, d.Store.Revision(), d.Store.Era())
		for _, b := range boxes {
			Eventually(func() string { return b.get("/status") }).WithTimeout(propagationTime).Should(ContainSubstring(want))
		}
	}
	// restoreFrom makes the store unreachable for a moment and restores it from a copy.
	restoreFrom := func(c *emulator.StoreSnapshot) {
		d.Store.SetFault(emulator.StoreReset, 0)
		time.Sleep(300 * time.Millisecond)
		d.Store.Restore(c)
		d.Store.SetFault(emulator.StoreNoFault, 0)
	}
	// writeUnrelated writes entries that boxes ignore, to raise the store's revision.
	writeUnrelated := func(entries int) {
		for range entries {
			d.Store.Put("other/entry", struct{}{})
		}
	}
	requestsTo := func(s *emulator.Server) int {
		before := len(s.Runs())
		Expect(runLoad(boxes, 400*time.Millisecond)).To(HaveLen(1))
		return len(s.Runs()) - before
	}

	It("apply later changes and confirm their lists", func() {
		add("i-1")
		start()
		waitForLists()
		copied := d.Store.Snapshot()
		writeUnrelated(30)
		add("i-2")
		waitForLists()
		restoreFrom(copied)
		late := add("i-late")
		time.Sleep(propagationTime)
		Expect(requestsTo(late)).To(BeNumerically(">", 0))
		for _, b := range boxes {
			Eventually(func() string { return b.get("/status") }).WithTimeout(propagationTime).Should(MatchRegexp(`"store_era":1,"list_age":"\d{1,3}(\.\d+)?ms"`))
		}
	})

	It("keep using endpoints that the copy lacks until they write their entries again", func() {
		add("i-1")
		start()
		copied := d.Store.Snapshot()
		s := add("i-2")
		waitForLists()
		restoreFrom(copied)
		begin := time.Now()
		for time.Since(begin) < restoreGrace-800*time.Millisecond {
			Expect(requestsTo(s)).To(BeNumerically(">", 0))
		}
		d.PutEntry(s, emulator.PlainService, "ready")
		time.Sleep(restoreGrace)
		Expect(requestsTo(s)).To(BeNumerically(">", 0))
	})

	It("drop endpoints that the copy lacks and that don't write their entries again", func() {
		add("i-1")
		start()
		copied := d.Store.Snapshot()
		s := add("i-2")
		waitForLists()
		restoreFrom(copied)
		time.Sleep(restoreGrace + propagationTime)
		Expect(requestsTo(s)).To(BeZero())
	})

	It("send nothing to endpoints that were draining or removed when the copy lists them as ready", func() {
		add("i-1")
		leaving, gone := add("i-leaving"), add("i-gone")
		start()
		waitForLists()
		copied := d.Store.Snapshot()
		d.PutEntry(leaving, emulator.PlainService, "draining")
		d.RemoveEntry("i-gone")
		waitForLists()
		restoreFrom(copied)
		time.Sleep(propagationTime)
		Expect(requestsTo(leaving)).To(BeZero())
		Expect(requestsTo(gone)).To(BeZero())
	})

	It("keep a zone drained that the copy lists as not drained, until the operator ends the drain", func() {
		add("i-1").WorkTime = 300 * time.Millisecond // too slow to serve all requests alone
		far, err := d.AddIn("zone-b", "i-far", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		start()
		waitForLists()
		copied := d.Store.Snapshot()
		d.Drain("zone-b")
		waitForLists()
		restoreFrom(copied)
		Expect(requestsTo(far)).To(BeZero())
		d.Drain("zone-b")
		time.Sleep(restoreGrace + propagationTime)
		Expect(requestsTo(far)).To(BeZero())
		d.EndDrain("zone-b")
		time.Sleep(propagationTime)
		Eventually(func() int { return requestsTo(far) }).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
	})

	It("keep the newer configuration, and apply the next one that is published", func() {
		add("i-1")
		start()
		copied := d.Store.Snapshot()
		document := emulator.NewDocument(7)
		document.Tenants = document.Tenants[1:]
		d.Publish(document)
		for _, b := range boxes {
			Eventually(func() int { return b.call("a-" + b.settings.Name).Status }).WithTimeout(propagationTime).Should(Equal(http.StatusUnauthorized))
		}
		restoreFrom(copied)
		time.Sleep(propagationTime)
		for _, b := range boxes {
			Expect(b.call("b-" + b.settings.Name).Status).To(Equal(http.StatusUnauthorized))
		}
		d.Publish(emulator.NewDocument(8))
		for _, b := range boxes {
			Eventually(func() int { return b.call("c-" + b.settings.Name).Status }).WithTimeout(propagationTime).Should(Equal(http.StatusOK))
		}
	})

	It("handle two restores in a row, also in a box that starts in between", func() {
		add("i-1")
		start()
		waitForLists()
		copied := d.Store.Snapshot()
		writeUnrelated(40)
		restoreFrom(copied)
		writeUnrelated(10)
		copied = d.Store.Snapshot()
		add("i-2")
		boxes = append(boxes, startBoxesWithSeed(d, boxes[0].settings.Peer, 1)...)
		last := boxes[len(boxes)-1]
		Expect(emulator.WaitReady(last.settings.Ready, waitTimeout)).To(Succeed())
		DeferCleanup(last.Stop)
		restoreFrom(copied)
		late := add("i-late")
		time.Sleep(propagationTime)
		waitForLists()
		Expect(requestsTo(late)).To(BeNumerically(">", 0))
	})
})
