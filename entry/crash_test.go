package entry_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/engine/completions"
)

// crash is in the prompts that no engine survives.
const crash = "no engine survives this"

// crashingWorker ends the engine that runs such a prompt.
type crashingWorker struct {
	engine.Worker
	mu    sync.Mutex
	ends  map[netip.AddrPort]func()
	ended int
}

func (w *crashingWorker) Start(ctx context.Context, c engine.Call, sink chan<- engine.Message) {
	if !bytes.Contains(c.Body, []byte(crash)) {
		w.Worker.Start(ctx, c, sink)
		return
	}
	w.mu.Lock()
	if end := w.ends[c.Address]; end != nil {
		end()
		delete(w.ends, c.Address)
		w.ended++
	}
	w.mu.Unlock()
	sink <- engine.Lost{}
}

func (w *crashingWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

var _ = Describe("a generation that ends every engine that runs it", func() {
	It("is refused once three have ended, by itself or by its repeats, and no other is", func() {
		inner, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		worker := &crashingWorker{
			Worker: inner,
			ends:   make(map[netip.AddrPort]func()),
		}
		var engines []netip.AddrPort
		for i := range 6 {
			at := freeAddress()
			engines = append(engines, at)
			worker.ends[at] = testEngine(engineName(i), at)
		}
		b := startBoxBefore(engines, worker)
		for range 3 {
			post(b, crash)
		}
		Expect(worker.count()).To(Equal(3))
		status, header, text := post(b, crash)
		Expect(status).To(Equal(http.StatusServiceUnavailable), text)
		Expect(header.Get("Dillsaddle-Outcome")).To(Equal("not-run"))
		Expect(header.Get("Retry-After")).To(Equal("600"))
		Expect(text).To(ContainSubstring("endpoints_end"))
		status, _, text = post(b, "a prompt")
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(ContainSubstring("[DONE]"))
	})
})
