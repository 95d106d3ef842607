package box_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// The platform's store may come back from a copy some seconds old: what was written since is
// gone until it is written again, revisions are given out again. Boxes that ordered what it
// says by revision alone believed nothing of it until its revisions had caught up: endpoints
// that came or left meanwhile were not heard of, and their lists grew old.
var _ = Describe("boxes whose store comes back from an older copy", func() {
	// known is how long a change of the store may take to be everywhere, and returned how
	// long what the copy lacks has to come back.
	const (
		known    = 2 * time.Second
		returned = 2 * time.Second
	)
	var d *emulator.Deployment
	var boxes []*started
	BeforeEach(func() { d = newDeployment() })
	add := func(id string) *emulator.Server { return addTo(d, id, emulator.PlainService) }
	start := func() { boxes = startReady(d, 3) }
	// settle waits until all boxes have the store's last change.
	settle := func() {
		want := fmt.Sprintf(`"list_changed":%d,"store_era":%d,`, d.Store.Revision(), d.Store.Era())
		for _, b := range boxes {
			Eventually(func() string { return b.get("/status") }).WithTimeout(known).Should(ContainSubstring(want))
		}
	}
	// away lets the store be away for a moment and come back from a copy.
	away := func(c *emulator.StoreSnapshot) {
		d.Store.SetFault(emulator.StoreReset, 0)
		time.Sleep(300 * time.Millisecond)
		d.Store.Restore(c)
		d.Store.SetFault(emulator.StoreNoFault, 0)
	}
	// fill writes entries that mean nothing, so that revisions of the copy lie far below.
	fill := func(entries int) {
		for range entries {
			d.Store.Put("other/entry", struct{}{})
		}
	}
	gets := func(s *emulator.Server) int {
		before := len(s.Runs())
		Expect(load(boxes, 400*time.Millisecond)).To(HaveLen(1))
		return len(s.Runs()) - before
	}

	It("hear of what is written next, and their lists are fresh", func() {
		add("i-1")
		start()
		settle()
		copied := d.Store.Snapshot()
		fill(30)
		add("i-2")
		settle()
		away(copied)
		late := add("i-late")
		time.Sleep(known)
		Expect(gets(late)).To(BeNumerically(">", 0))
		for _, b := range boxes {
			Eventually(func() string { return b.get("/status") }).WithTimeout(known).Should(MatchRegexp(`"store_era":1,"list_age":"\d{1,3}(\.\d+)?ms"`))
		}
	})

	It("serve on with endpoints that the copy lacks, which then write their entries again", func() {
		add("i-1")
		start()
		copied := d.Store.Snapshot()
		s := add("i-2")
		settle()
		away(copied)
		begin := time.Now()
		for time.Since(begin) < returned-800*time.Millisecond {
			Expect(gets(s)).To(BeNumerically(">", 0))
		}
		d.List(s, emulator.PlainService, "ready")
		time.Sleep(returned)
		Expect(gets(s)).To(BeNumerically(">", 0))
	})

	It("give up endpoints that the copy lacks and that don't come back", func() {
		add("i-1")
		start()
		copied := d.Store.Snapshot()
		s := add("i-2")
		settle()
		away(copied)
		time.Sleep(returned + known)
		Expect(gets(s)).To(BeZero())
	})

	It("send nothing to endpoints that left, or went, before the copy's word is back", func() {
		add("i-1")
		leaving, gone := add("i-leaving"), add("i-gone")
		start()
		settle()
		copied := d.Store.Snapshot()
		d.List(leaving, emulator.PlainService, "draining")
		d.Unlist("i-gone")
		settle()
		away(copied)
		time.Sleep(known)
		Expect(gets(leaving)).To(BeZero())
		Expect(gets(gone)).To(BeZero())
	})

	It("keep a zone drained that the copy doesn't know as drained, until that is lasting", func() {
		add("i-1").WorkTime = 300 * time.Millisecond // it can't serve all
		far, err := d.AddIn("zone-b", "i-far", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
		start()
		settle()
		copied := d.Store.Snapshot()
		d.Drain("zone-b")
		settle()
		away(copied)
		Expect(gets(far)).To(BeZero())
		d.Drain("zone-b")
		time.Sleep(returned + known)
		Expect(gets(far)).To(BeZero())
		d.EndDrain("zone-b")
		time.Sleep(known)
		Eventually(func() int { return gets(far) }).WithTimeout(patience).Should(BeNumerically(">", 0))
	})

	It("go back to no older configuration, and take the operator's next word", func() {
		add("i-1")
		start()
		copied := d.Store.Snapshot()
		document := emulator.NewDocument(7)
		document.Tenants = document.Tenants[1:]
		d.Publish(document)
		for _, b := range boxes {
			Eventually(func() int { return b.call("a-" + b.settings.Name).Status }).WithTimeout(known).Should(Equal(http.StatusUnauthorized))
		}
		away(copied)
		time.Sleep(known)
		for _, b := range boxes {
			Expect(b.call("b-" + b.settings.Name).Status).To(Equal(http.StatusUnauthorized))
		}
		d.Publish(emulator.NewDocument(8))
		for _, b := range boxes {
			Eventually(func() int { return b.call("c-" + b.settings.Name).Status }).WithTimeout(known).Should(Equal(http.StatusOK))
		}
	})

	It("go through it twice, also one that the store turns away and one that starts between", func() {
		add("i-1")
		start()
		settle()
		copied := d.Store.Snapshot()
		fill(40)
		away(copied)
		fill(10)
		copied = d.Store.Snapshot()
		add("i-2")
		boxes = append(boxes, startBoxesBeside(d, boxes[0].settings.Peer, 1)...)
		last := boxes[len(boxes)-1]
		Expect(emulator.WaitReady(last.settings.Ready, patience)).To(Succeed())
		DeferCleanup(last.Stop)
		away(copied)
		late := add("i-late")
		time.Sleep(known)
		settle()
		Expect(gets(late)).To(BeNumerically(">", 0))
	})
})
