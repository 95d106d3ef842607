package gateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

var _ = Describe("an engine in a slow spell", func() {
	var b *testbed
	var placed *placementLog
	var engine *emulator.Server
	BeforeEach(func() {
		placed = &placementLog{}
		b = newTestbedWith(true, gateway.WithOnPlaced(placed.add))
		engine = b.add("e-1", emulator.ModelService)
		engine.Events, engine.EventInterval = 3, time.Millisecond
	})
	stream := func(id string) {
		o := b.caller.Do(context.Background(), emulator.Call{
			ID:       id,
			Method:   http.MethodPost,
			Path:     emulator.StreamPath,
			Body:     "prompt",
			Deadline: 20 * time.Second,
			Tokens: emulator.Tokens{
				Prompt:    100,
				MaxOutput: 400,
			},
		})
		Expect(o.IsComplete).To(BeTrue())
	}
	spells := func() (all []fleet.Placement) {
		for _, p := range placed.all() {
			if p.SlowFor > 0 {
				all = append(all, p)
			}
		}
		return all
	}
	logged := func() int { return b.log.FilterMessage("engine in a slow spell").Len() }

	// Guards against a message or a log line for each answer of the engine.
	It("is announced to the group and logged once", func() {
		engine.SetSlowdown(100)
		stream("a0")
		Expect(spells()).To(BeEmpty())
		engine.SetSlowdown(250)
		for _, id := range []string{"a1", "a2", "a3"} {
			stream(id)
		}
		Expect(spells()).To(HaveLen(1))
		Expect(spells()[0].Endpoint).To(HavePrefix("e-1"))
		Expect(spells()[0].SlowFor).To(BeNumerically("<", 5*time.Second))
		Expect(logged()).To(Equal(1))
		engine.SetSlowdown(100)
		stream("a4")
		engine.SetSlowdown(250)
		stream("a5")
		Expect(spells()).To(HaveLen(2))
	})

	It("is not announced by a box that another one notified", func() {
		engine.SetSlowdown(100)
		stream("b0")
		for _, id := range []string{placed.all()[0].Endpoint, "unknown"} {
			b.gateway.HandlePlacement(time.Now(), fleet.Placement{
				Endpoint: id,
				SlowFor:  2 * time.Second,
			})
		}
		engine.SetSlowdown(250)
		stream("b1")
		Expect(spells()).To(BeEmpty())
		Expect(logged()).To(BeZero())
	})

	// Guards against changes for deployments whose endpoints report no slowdowns.
	It("is not looked for where endpoints report no slowdowns", func() {
		for _, id := range []string{"c0", "c1"} {
			stream(id)
		}
		engine.EventInterval = 60 * time.Millisecond
		stream("c2")
		Expect(spells()).To(BeEmpty())
		Expect(logged()).To(BeZero())
	})
})
