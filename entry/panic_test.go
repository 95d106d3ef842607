package entry_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/engine/completions"
)

// poisonPrompt is the text in prompts that make the worker panic.
const poisonPrompt = "poison"

// faultyWorker panics when it starts a request whose prompt has poisonPrompt, and on every
// cancellation.
type faultyWorker struct{ engine.Worker }

func (w *faultyWorker) Start(ctx context.Context, c engine.Call, sink chan<- engine.Message) {
	if bytes.Contains(c.Body, []byte(poisonPrompt)) {
		panic("worker panic in Start")
	}
	w.Worker.Start(ctx, c, sink)
}

func (w *faultyWorker) Cancel(context.Context, netip.AddrPort, string, bool) error {
	panic("worker panic in Cancel")
}

var _ = Describe("a panic in a worker", func() {
	It("ends the affected request with a final answer and leaves other requests running", func() {
		worker, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		b := startBox(&faultyWorker{Worker: worker})
		status, header, text := post(b, poisonPrompt)
		Expect(status).To(Equal(http.StatusServiceUnavailable), text)
		Expect(header.Get("Dillsaddle-Outcome")).To(Equal("unknown"))
		Expect(header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(text).To(ContainSubstring("retries_spent"))
		status, _, text = post(b, "a prompt")
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(ContainSubstring("[DONE]"))
		Expect(text).To(ContainSubstring(`"Dillsaddle-Outcome":"ran"`))
	})
})
