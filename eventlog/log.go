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
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 1024
	// budgetRate and budgetBurst bound the lines in a second: a box with a
	// hundred requests a second logs them all, one in a storm does not.
	budgetRate  = 400.0
	budgetBurst = 1200.0
)

// Sink is a writer that drops and counts what doesn't fit.
type Sink struct {
	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	queue   chan []byte
	done    chan struct{}
	leftOut atomic.Int64
	now     func() time.Time
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
		tokens: budgetBurst,
		queue:  make(chan []byte, queueLines),
		done:   make(chan struct{}),
		now:    time.Now,
	}
	for _, o := range options {
		o(s)
	}
	s.filled = s.now()
	go s.write(out)
	return s
}

func (s *Sink) write(out io.Writer) {
	defer close(s.done)
	for line := range s.queue {
		if _, err := out.Write(line); err != nil {
			s.leftOut.Add(1)
		}
	}
}

// Write takes one line, or drops and counts it. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.afford() {
		s.leftOut.Add(1)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.leftOut.Add(1)
	}
	return len(line), nil
}

func (s *Sink) afford() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tokens = min(budgetBurst, s.tokens+budgetRate*now.Sub(s.filled).Seconds())
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Sync does nothing: lines are written as soon as the reader takes them.
func (s *Sink) Sync() error { return nil }

// DroppedLines counts the lines that were dropped.
func (s *Sink) DroppedLines() int64 { return s.leftOut.Load() }

// Close writes what waits, for at most a time. Nothing may be written after it.
func (s *Sink) Close(most time.Duration) {
	close(s.queue)
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
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
	return zap.New(plainErrors{zapcore.NewCore(encoder, s, level)})
}
