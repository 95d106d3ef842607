package admission_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

// unpacedChoices is the digest of choicesDigest before the cost of missed targets existed.
const unpacedChoices = uint64(13790568665424994882)

// choicesDigest returns a digest of the endpoints that a balancer chooses for a fixed sequence
// of requests, messages and reports. Change modifies each request.
func choicesDigest(b *admission.Balancer, change func(*admission.Requirements)) uint64 {
	random := rand.New(rand.NewPCG(7, 8))
	now := simStart
	var all []routing.Endpoint
	for i := range 40 {
		all = append(all, routing.Endpoint{
			ID:      fmt.Sprintf("e%d", i),
			Service: "model",
			Zone:    zoneName(i % 2),
			Slots:   8 + 8*(i%2),
		})
	}
	group := make(map[string]bool)
	for _, e := range all[:30] {
		group[e.ID] = true
	}
	digest := fnv.New64a()
	for i := range 6000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		if i == 3000 {
			b.SetGroupEngines(group)
		}
		other := all[random.IntN(len(all))].ID
		switch random.IntN(5) {
		case 0:
			b.AddRemotePrompt(now, other, 1000+random.IntN(3000))
		case 1:
			b.RunEnded(now, other, random.IntN(4000), 3000)
		case 2:
			b.Memory(now, routing.Report{
				Endpoint: other,
				Running:  random.IntN(7),
				Used:     random.IntN(30_000),
				Total:    30_000,
			})
		case 3:
			b.Failed(now, other, random.IntN(3) == 0)
		}
		req := admission.Requirements{
			Tokens: 3000 + random.IntN(1000),
			Prompt: 3000,
			Memory: 30_000,
			Shared: true,
		}
		if random.IntN(4) == 0 {
			req = admission.Requirements{} // not a model engine
		}
		change(&req)
		e, _ := b.Pick(now, all, req)
		b.BeginSend(now, e.ID, req.Tokens, req.Prompt)
		b.AddPrompt(now, e.ID, req.Prompt)
		b.EndSend(now, e.ID, now, req.Tokens)
		_, _ = fmt.Fprintln(digest, e.ID)
	}
	return digest.Sum64()
}

// Guards against changes for services whose endpoints report no slowdowns, or none of whose
// routes has a target for pauses.
var _ = Describe("the choice of an endpoint of a service without pause-sensitive streams", func() {
	newBalancer := func() *admission.Balancer {
		return admission.NewBalancer("zone-0", rand.New(rand.NewPCG(5, 6)).Float64)
	}

	It("is as before", func() {
		Expect(choicesDigest(newBalancer(), func(*admission.Requirements) {})).To(Equal(unpacedChoices))
	})

	targets := func(req *admission.Requirements) {
		req.PauseSensitive = true
		req.ExpectedEvents = 200
		req.LatencyTarget = time.Second
		req.Size = 800
	}

	It("ignores targets, and the paces of another service", func() {
		b := newBalancer()
		b.ObservePace(simStart, "other", "e1", time.Millisecond)
		b.ObserveStream(simStart, "other", "e1", 100, true)
		Expect(choicesDigest(b, targets)).To(Equal(unpacedChoices))
	})

	It("differs once a pace is known", func() {
		b := newBalancer()
		b.ObservePace(simStart, "model", "e1", time.Millisecond)
		Expect(choicesDigest(b, targets)).NotTo(Equal(unpacedChoices))
	})
})
