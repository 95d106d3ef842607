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

// poisonPrompt is in the prompts that make the worker panic.
const poisonPrompt = "poison"

// faultyWorker panics on requests whose prompt is poisoned, before or after the
// engine took them.
type faultyWorker struct{ engine.Worker }

func (w *faultyWorker) Start(ctx context.Context, c engine.Call, sink chan<- engine.Message) {
	if bytes.Contains(c.Body, []byte(poisonPrompt)) {
		panic("a fault of the worker's")
	}
	w.Worker.Start(ctx, c, sink)
}

func (w *faultyWorker) Cancel(context.Context, netip.AddrPort, string, bool) error {
	panic("another fault of the worker's")
}

var _ = Describe("a panic in a worker", func() {
	It("ends the request in which it happened with a final answer, and no other", func() {
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
