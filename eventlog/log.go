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
	// maxQueuedLines bounds the lines that are queued for a slow reader.
	maxQueuedLines = 1024
	// linesPerSecond and burstLines configure the rate limit. It lets through all
	// lines of a box with a hundred requests a second.
	linesPerSecond = 400.0
	burstLines     = 1200.0
)

// Sink is a writer that drops and counts lines rather than block.
type Sink struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	queue      chan []byte
	writerDone chan struct{}
	dropped    atomic.Int64
	now        func() time.Time
}

// SinkOption configures a Sink.
type SinkOption func(*Sink)

// WithClock sets the clock of the rate limit.
func WithClock(now func() time.Time) SinkOption {
	return func(s *Sink) { s.now = now }
}

// NewSink returns a sink that writes to out from a goroutine.
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

// Write queues a line, or drops and counts it. It never blocks.
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

// takeToken takes a token from the rate limit's bucket and reports whether there
// was one.
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

// Sync does nothing, since lines are written as soon as the reader accepts them.
func (s *Sink) Sync() error { return nil }

// DroppedLines returns the number of dropped lines.
func (s *Sink) DroppedLines() int64 { return s.dropped.Load() }

// Close waits, up to a timeout, until the queued lines are written. The sink must
// not be written to afterwards.
func (s *Sink) Close(timeout time.Duration) {
	close(s.queue)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.writerDone:
	case <-timer.C:
	}
}

// New returns a logger that writes JSON lines to a sink.
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
