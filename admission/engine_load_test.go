package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("the loads of engines that are shown to operators", func() {
	const memory = 1000
	now := time.Now()
	engines := []routing.Endpoint{{ID: "e-1"}, {ID: "e-2"}}
	loads := func(b *admission.Balancer, at time.Time, memory int) []admission.EngineLoad {
		return b.EngineLoads(at, "engines", engines, memory)
	}
	newBalancer := func() *admission.Balancer {
		return admission.NewBalancer("zone-a", func() float64 { return 0.5 })
	}

	It("have the pace, the report, the estimate and the pause-sensitive streams", func() {
		b := newBalancer()
		b.Memory(now, routing.Report{
			Endpoint: "e-1",
			Used:     400,
			Total:    800,
		})
		b.ObservePace(now, "engines", "e-1", 20*time.Millisecond)
		b.ObservePace(now, "others", "e-2", 20*time.Millisecond)
		b.BeginSend(now, "e-1", 200, 100)
		b.BeginStream(now, "e-1", 100, 100, false)
		all := loads(b, now, memory)
		Expect(all).To(HaveLen(2))
		Expect(all[0].EventInterval).To(Equal(20 * time.Millisecond))
		Expect(*all[0].Reported).To(Equal(0.5))
		Expect(all[0].Estimated).To(BeNumerically("~", 0.75, 0.001))
		Expect(all[0].PacedStreams).To(Equal(1))
		Expect(all[1]).To(Equal(admission.EngineLoad{Endpoint: "e-2"}))
	})

	// Guards against a state of long ago that is shown as the present one.
	It("have no report that is too old", func() {
		b := newBalancer()
		b.Memory(now, routing.Report{
			Endpoint: "e-1",
			Used:     400,
			Total:    800,
		})
		old := loads(b, now.Add(6*time.Second), memory)[0]
		Expect(old.Reported).To(BeNil())
		Expect(old.Estimated).To(BeZero())
	})

	// Guards against memory that grows with each engine that leaves: ends of runs and failures there
	// arrive when the engine is forgotten already.
	It("are dropped a while after an engine is gone, though its last runs end later", func() {
		b := newBalancer()
		for i := range 1000 {
			id := fmt.Sprintf("gone-%d", i)
			b.Forget(id)
			b.RunEnded(now, id, 100, 200)
			b.Failed(now, id, true)
		}
		b.BeginSend(now, "running", 200, 100)
		b.RunEnded(now, "e-1", 100, 200)
		isListed := func(id string) bool { return id == "e-1" }
		b.DropUnused(now.Add(time.Second), isListed)
		Expect(b.LoadCount()).To(Equal(1002), "another box's news of an engine may precede the list")
		b.DropUnused(now.Add(2*time.Minute), isListed)
		Expect(b.LoadCount()).To(Equal(2))
		b.EndSend(now.Add(2*time.Minute), "running", now, 200)
		b.DropUnused(now.Add(3*time.Minute), isListed)
		Expect(b.LoadCount()).To(Equal(1))
	})

	// Guards against an estimate of many times the memory where its size isn't configured.
	It("have no estimate for an engine of unknown memory", func() {
		b := newBalancer()
		b.BeginSend(now, "e-1", 200, 100)
		Expect(loads(b, now, 0)[0].Estimated).To(BeZero())
	})
})
