package completions_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/engine/completions"
	"dillsaddle.example/dillsaddle/standin"
)

// startEngine starts a stand-in engine and returns its address.
func startEngine(cache standin.CacheEventRules) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := netip.MustParseAddrPort(l.Addr().String())
	Expect(l.Close()).To(Succeed())
	rules := standin.EngineRules{
		Name:   "engine-1",
		Models: []string{"model-1"},
		Batch:  standin.DefaultBatchRules(),
		OutputLength: standin.LengthDistribution{
			Median:    5,
			Sigma:     0.1,
			MaxLength: 10,
		},
		Cache: cache,
	}
	h := standin.NewEngine(rules).HTTPServer(address)
	go h.Spin()
	Eventually(func() error {
		c, err := net.Dial("tcp", address.String())
		if err == nil {
			_ = c.Close()
		}
		return err
	}, "10s", "10ms").Should(Succeed())
	return address
}

// generate sends a request and returns the worker's messages.
func generate(w engine.Worker, address netip.AddrPort, n int) []engine.Message {
	sink := make(chan engine.Message, 64)
	engine.WithPanicRecovery(w, func(any, []byte) {}).Start(context.Background(), engine.Call{
		Address:    address,
		Endpoint:   "engine-1",
		Generation: fmt.Sprint("generation-", n),
		Model:      "model-1",
		MaxTokens:  10,
		Body:       fmt.Appendf(nil, `{"model":"model-1","prompt":"prompt %d"}`, n),
	}, sink)
	var all []engine.Message
	for m := range sink {
		all = append(all, m)
	}
	return all
}

var _ = Describe("a worker of the completions API", func() {
	It("reports a generation from start to end, each token once", func() {
		w, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		all := generate(w, startEngine(standin.CacheEventRules{}), 1)
		Expect(all[0]).To(BeAssignableToTypeOf(engine.Opened{}))
		next := uint64(0)
		for _, m := range all[1 : len(all)-1] {
			Expect(m.(engine.Token).Offset).To(Equal(next))
			next++
		}
		Expect(all[len(all)-1].(engine.Finished).Offset).To(Equal(next))
	})

	// Guards against a stand-in that forgets a finished generation while its stream is
	// still being written.
	It("reads a delayed stream completely", func() {
		w, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		address := startEngine(standin.CacheEventRules{})
		late, err := http.Post("http://"+address.String()+"/control/fault", "application/json", strings.NewReader(`{"delay_ms":150}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(late.Body.Close()).To(Succeed())
		all := generate(w, address, 1)
		Expect(all[len(all)-1]).To(BeAssignableToTypeOf(engine.Finished{}))
	})

	It("reads cache events that are late or missing", func() {
		w, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		address := startEngine(standin.CacheEventRules{HeldBack: 1, DropEvery: 3})
		for n := range 6 {
			generate(w, address, n)
		}
		events, err := w.CacheEvents(context.Background(), address, 1)
		Expect(err).NotTo(HaveOccurred())
		var numbers []int
		for _, e := range events {
			numbers = append(numbers, e.Sequence)
		}
		Expect(numbers).To(Equal([]int{2, 4, 5}), "3 is dropped, 6 is delayed, 1 is before the requested range")
	})
})
