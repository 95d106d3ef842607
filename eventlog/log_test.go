package eventlog_test

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/eventlog"
)

// lines is a writer that may be read while it is written to.
type lines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

var _ = Describe("the log", func() {
	It("writes errors by their messages, without stacks", func() {
		out := &lines{}
		s := eventlog.NewSink(out)
		eventlog.New(s, zap.InfoLevel).Info("send failed", zap.Error(errors.New("connection reset")), zap.Error(nil))
		s.Close(time.Second)
		var line map[string]any
		Expect(json.Unmarshal(out.all.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("error", "connection reset"))
		Expect(line).NotTo(HaveKey("errorVerbose"))
	})

	It("writes one object of JSON a line", func() {
		out := &lines{}
		s := eventlog.NewSink(out)
		eventlog.New(s, zap.InfoLevel).Named("gateway").Info("placed", zap.String("request", "r1"), zap.Duration("age", time.Second))
		s.Close(time.Second)
		var line map[string]any
		Expect(json.Unmarshal(out.all.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("event", "placed"))
		Expect(line).To(HaveKeyWithValue("request", "r1"))
		Expect(line).To(HaveKeyWithValue("age", "1s"))
	})

	It("never blocks on a reader that takes nothing, and counts what it drops", func() {
		reader, writer := io.Pipe()
		defer reader.Close()
		now := time.Now()
		s := eventlog.NewSink(writer, eventlog.WithClock(func() time.Time {
			now = now.Add(time.Second)
			return now
		}))
		log := eventlog.New(s, zap.InfoLevel)
		for range 3000 {
			log.Info("line")
		}
		Expect(s.DroppedLines()).To(BeNumerically(">", 1500))
	})

	It("keeps to its budget and counts the rest", func() {
		now := time.Now()
		s := eventlog.NewSink(io.Discard, eventlog.WithClock(func() time.Time { return now }))
		log := eventlog.New(s, zap.InfoLevel)
		for range 2000 {
			log.Info("line")
		}
		Expect(s.DroppedLines()).To(BeNumerically(">=", 800))
	})
})
