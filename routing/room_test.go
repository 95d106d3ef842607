package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("a service's requests", func() {
	stream := func(target time.Duration) routing.Route {
		return routing.Route{
			Kind:          routing.Streaming,
			LatencyTarget: target,
			Split:         []routing.Share{{Service: "engines"}},
		}
	}
	engine := &routing.Engine{MemoryTokens: 1000}
	call := stream(9 * time.Second)
	call.Kind = routing.Repeatable

	// Guards against waits in deployments whose routes leave no time for them.
	DescribeTable("wait for room if their engines' memory is known and one streaming route has time,",
		func(engine *routing.Engine, waits bool, routes ...routing.Route) {
			t := routing.NewTable(&routing.Document{
				Routes: routes,
				Services: []routing.Service{{
					Name:   "engines",
					Engine: engine,
				}},
			})
			Expect(t.WaitsForRoom("engines")).To(Equal(waits))
			Expect(t.WaitsForRoom("other")).To(BeFalse())
		},
		Entry("twice the other's target", engine, true, stream(1500*time.Millisecond), stream(3*time.Second)),
		Entry("less than twice", engine, false, stream(1500*time.Millisecond), stream(2900*time.Millisecond)),
		Entry("one route only", engine, false, stream(1500*time.Millisecond)),
		Entry("a route without a target", engine, false, stream(1500*time.Millisecond), stream(0)),
		Entry("a route that doesn't stream", engine, false, stream(1500*time.Millisecond), call),
		Entry("unknown memory", &routing.Engine{}, false, stream(time.Second), stream(3*time.Second)),
		Entry("no engines", nil, false, stream(time.Second), stream(3*time.Second)),
	)

	It("have time to wait if their target is at least twice the shortest", func() {
		short, long, none := stream(time.Second), stream(3*time.Second), stream(0)
		t := routing.NewTable(&routing.Document{Routes: []routing.Route{short, long, none}})
		Expect(t.HasTimeToWait(&short, "engines")).To(BeFalse())
		Expect(t.HasTimeToWait(&long, "engines")).To(BeTrue())
		Expect(t.HasTimeToWait(&none, "engines")).To(BeTrue())
		Expect(t.StreamTarget(&none, "engines")).To(Equal(3 * time.Second))
	})
})
