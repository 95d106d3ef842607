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

// crashPrompt is the text in prompts that crash the engine.
const crashPrompt = "no engine survives this"

// crashingWorker stops the engine that is to run a prompt with crashPrompt.
type crashingWorker struct {
	engine.Worker
	mu      sync.Mutex
	stops   map[netip.AddrPort]func()
	crashed int
}

func (w *crashingWorker) Start(ctx context.Context, c engine.Call, sink chan<- engine.Message) {
	if !bytes.Contains(c.Body, []byte(crashPrompt)) {
		w.Worker.Start(ctx, c, sink)
		return
	}
	w.mu.Lock()
	if stop := w.stops[c.Address]; stop != nil {
		stop()
		delete(w.stops, c.Address)
		w.crashed++
	}
	w.mu.Unlock()
	sink <- engine.Lost{}
}

func (w *crashingWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

var _ = Describe("a request that crashes every engine that runs it", func() {
	It("is refused after three crashes, counting its repeats, while other requests run", func() {
		inner, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		worker := &crashingWorker{
			Worker: inner,
			stops:  make(map[netip.AddrPort]func()),
		}
		var engines []netip.AddrPort
		for i := range 6 {
			at := freeAddress()
			engines = append(engines, at)
			worker.stops[at] = startEngine(engineName(i), at)
		}
		b := startBoxWithEngines(engines, worker)
		for range 3 {
			post(b, crashPrompt)
		}
		Expect(worker.count()).To(Equal(3))
		status, header, text := post(b, crashPrompt)
		Expect(status).To(Equal(http.StatusServiceUnavailable), text)
		Expect(header.Get("Dillsaddle-Outcome")).To(Equal("not-run"))
		Expect(header.Get("Retry-After")).To(Equal("600"))
		Expect(text).To(ContainSubstring("endpoints_end"))
		status, _, text = post(b, "a prompt")
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(ContainSubstring("[DONE]"))
	})
})
