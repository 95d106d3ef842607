package completions_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/engine/completions"
	"dillsaddle.example/dillsaddle/platform/emulator"
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

// Guards against engines whose bytes without end fill the memory of the process that reads them.
var _ = Describe("a response of an engine without end", func() {
	const maxAllocated = 16 << 20

	DescribeTable("ends the attempt",
		func(text, endless string, want any) {
			server, err := emulator.NewServer("endless", emulator.AnyAddress())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Crash)
			server.SetRawAnswer(text, endless)
			w, err := completions.New()
			Expect(err).NotTo(HaveOccurred())
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			all := generate(w, netip.MustParseAddrPort(server.Address()), 1)
			runtime.ReadMemStats(&after)
			Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", maxAllocated), "bytes")
			Expect(all[len(all)-1]).To(BeAssignableToTypeOf(want))
		},
		Entry("in an event's line", eventHead+"data: ", "x", engine.Lost{}),
		Entry("in the number of an event's lines", eventHead, "data: x\n", engine.Lost{}),
		Entry("in a chunked event's line", chunkedHead+"6\r\ndata: \r\n", "4\r\nxxxx\r\n", engine.Lost{}),
		Entry("in the number of a chunked event's lines", chunkedHead, "8\r\ndata: x\n\r\n", engine.Lost{}),
		Entry("in the number of its headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", engine.Lost{}),
		Entry("in the text of a refusal", "HTTP/1.1 503 Full\r\nContent-Length: 9999999999\r\n\r\n", "x", engine.Refused{}),
		Entry("in the text of a failure", "HTTP/1.1 500 Failed\r\nConnection: close\r\n\r\n", "x", engine.Lost{}),
	)
})

// Heads of responses with events.
const (
	eventHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
