package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against work that is taken from sound endpoints, or run twice, because they were silent.
var _ = Describe("an endpoint that is silent for a second", func() {
	const silence = 1200 * time.Millisecond
	var b *testbed
	BeforeEach(func() { b = newTestbed() })

	It("keeps its streams, also those with a copy elsewhere", func() {
		document := emulator.NewDocument(2)
		for _, r := range document.Routes {
			r["gap_aim_ms"] = 180 // pauses are watched where the route has a target for them
		}
		b.deployment.Publish(document)
		first := b.add("e-1", emulator.ModelService)
		first.EventInterval = eventGap
		first.Events = 20
		broken := longStream(b, "broken")
		Eventually(first.Runs).WithTimeout(callerTimeout).Should(HaveLen(1))
		time.Sleep(3 * eventGap)
		first.Crash() // from now on, runs get backup copies
		<-broken
		b.deployment.RemoveEntry("e-1")
		engines := []*emulator.Server{b.add("e-2", emulator.ModelService), b.add("e-3", emulator.ModelService)}
		for _, e := range engines {
			e.EventInterval = eventGap
			e.Events = 20
		}
		kept := longStream(b, "kept")
		runs := func() []emulator.Run { return b.deployment.Runs()["kept"] }
		Eventually(runs).WithTimeout(callerTimeout).Should(HaveLen(1))
		time.Sleep(3 * eventGap)
		for _, e := range engines {
			if e.ID == runs()[0].Server {
				e.FallSilent(silence)
			}
		}
		Expect(<-kept).To(And(HaveField("IsComplete", true), HaveField("Events", 20)))
		Expect(runs()).To(HaveLen(1))
		Expect(engines[0].Backups() + engines[1].Backups()).To(Equal(1))
	})

	It("answers its calls afterwards, and none counts as the cause of a crash", func() {
		s := b.add("i-1", emulator.PlainService)
		s.FallSilent(silence)
		Expect(b.call(http.MethodPost, emulator.CallPath, "once", "body").Status).To(Equal(http.StatusOK))
		s.FallSilent(silence)
		Expect(b.call(http.MethodPost, emulator.RepeatPath, "again", "body").Status).To(Equal(http.StatusOK))
		Expect(b.crashCount("once") + b.crashCount("again")).To(BeZero())
		Expect(b.deployment.Runs()["once"]).To(HaveLen(1))
	})
})
