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
			Median: 5,
			Sigma:  0.1,
			Most:   10,
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

// generate sends a request and gives what the worker told of it.
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
	It("tells a generation from its opening to its end, each token once", func() {
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

	// The stand-in forgot a generation that had ended while its stream still was
	// being written: on a busy machine, CI lost a stream's end so, once.
	It("gets a stream whole that the endpoint writes late", func() {
		w, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		address := startEngine(standin.CacheEventRules{})
		late, err := http.Post("http://"+address.String()+"/control/fault", "application/json", strings.NewReader(`{"delay_ms":150}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(late.Body.Close()).To(Succeed())
		all := generate(w, address, 1)
		Expect(all[len(all)-1]).To(BeAssignableToTypeOf(engine.Finished{}))
	})

	It("reads cache events that come late and with gaps", func() {
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
		Expect(numbers).To(Equal([]int{2, 4, 5}), "3 is never told, 6 not yet, 1 was asked behind")
	})
})
