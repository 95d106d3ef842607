package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader.
	maxQueuedLines = 1024
	// linesPerSecond and budgetBurst bound the lines in a second: a box with a
	// hundred requests a second logs them all, one in a storm does not.
	linesPerSecond = 400.0
	burstLines     = 1200.0
)

// Sink is a writer that drops and counts what doesn't fit.
type Sink struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	queue      chan []byte
	writerDone chan struct{}
	dropped    atomic.Int64
	now        func() time.Time
}

// SinkOption changes how a sink is built.
type SinkOption func(*Sink)

// WithClock gives the clock of the budget; tests use their own.
func WithClock(now func() time.Time) SinkOption {
	return func(s *Sink) { s.now = now }
}

// NewSink starts a sink that writes to out.
func NewSink(out io.Writer, options ...SinkOption) *Sink {
	s := &Sink{
		tokens:     burstLines,
		queue:      make(chan []byte, maxQueuedLines),
		writerDone: make(chan struct{}),
		now:        time.Now,
	}
	for _, o := range options {
		o(s)
	}
	s.refilledAt = s.now()
	go s.write(out)
	return s
}

func (s *Sink) write(out io.Writer) {
	defer close(s.writerDone)
	for line := range s.queue {
		if _, err := out.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
}

// Write takes one line, or drops and counts it. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.takeToken() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) takeToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tokens = min(burstLines, s.tokens+linesPerSecond*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Sync does nothing: lines are written as soon as the reader takes them.
func (s *Sink) Sync() error { return nil }

// DroppedLines counts the lines that were dropped.
func (s *Sink) DroppedLines() int64 { return s.dropped.Load() }

// Close writes what waits, for at most a time. Nothing may be written after it.
func (s *Sink) Close(timeout time.Duration) {
	close(s.queue)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.writerDone:
	case <-timer.C:
	}
}

// New builds a log of JSON lines on a sink.
func New(s *Sink, level zapcore.Level) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "at",
		LevelKey:       "level",
		NameKey:        "part",
		MessageKey:     "event",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		EncodeName:     zapcore.FullNameEncoder,
	})
	return zap.New(stacklessCore{zapcore.NewCore(encoder, s, level)})
}
