package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/events"
	"dillsaddle.example/dillsaddle/standin"
)

// Stream is one stream as its caller received it.
type Stream struct {
	ID               string
	Generation       string
	Tokens           []string
	LastEvent        string // id of the last event
	Done             bool   // the event [DONE] was received
	Outcome          string
	Code             string // code of the stream's error, empty if it had none
	Status           int
	Body             string // body of a response that is not a stream
	TimeToFirstToken time.Duration
	Gaps             []float64 // seconds between tokens
	startedAt        time.Time
	lastTokenAt      time.Time
	repeatedIDs      int   // events with the same id as the previous event
	progress         int32 // a streamProgress, read and written atomically
}

// streamProgress is the progress of a stream as its caller sees it.
type streamProgress = int32

// A stream waits for its first token, then receives tokens, then has ended.
const (
	streamWaiting streamProgress = iota
	streamRunning
	streamEnded
)

// streamChunk holds the fields of an event that a caller reads.
type streamChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text   string  `json:"text"`
		Reason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
	Outcome string `json:"Dillsaddle-Outcome"`
}

// streamTimeout bounds how long a caller waits for the end of a stream.
const streamTimeout = 2 * time.Minute

// ReadStream starts a stream at a box and reads it until it ends or the context is
// cancelled.
func (f *Fleet) ReadStream(ctx context.Context, boxIndex int, headers map[string]string) (*Stream, error) {
	s := &Stream{startedAt: time.Now()}
	return s, f.readStream(ctx, s, boxIndex, headers)
}

func (f *Fleet) readStream(ctx context.Context, s *Stream, boxIndex int, headers map[string]string) error {
	defer atomic.StoreInt32(&s.progress, streamEnded)
	body := fmt.Sprintf(`{"model":%q,"prompt":"a prompt","stream":true}`, Model)
	return f.readEvents(ctx, s, boxIndex, "POST", "/v1/completions", headers, []byte(body))
}

// Continue resumes a stream through a box after the last event that the caller received.
func (f *Fleet) Continue(ctx context.Context, s *Stream, boxIndex int) error {
	return f.readEvents(ctx, s, boxIndex, "GET", "/v1/streams/"+s.ID, map[string]string{"Last-Event-ID": s.LastEvent}, nil)
}

type streamIDKey struct{}

// WithStreamID returns a context that makes a stream send its id to a channel as soon
// as it is known.
func WithStreamID(ctx context.Context, opened chan string) context.Context {
	return context.WithValue(ctx, streamIDKey{}, opened)
}

type firstTokenKey struct{}

// WithFirstToken returns a context that makes a stream call a function at its first
// token.
func WithFirstToken(ctx context.Context, first func()) context.Context {
	return context.WithValue(ctx, firstTokenKey{}, first)
}

func (f *Fleet) readEvents(ctx context.Context, s *Stream, boxIndex int, method, path string, headers map[string]string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod(method)
	req.SetRequestURI("http://" + f.boxes[boxIndex].Entry.String() + path)
	req.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.SetBody(body)
	req.SetConnectionClose()
	if err := f.http.Do(ctx, req, resp); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	s.Status = resp.StatusCode()
	if s.Status != 200 {
		s.Body = string(resp.Body())
		s.Outcome = resp.Header.Get("Dillsaddle-Outcome")
		return nil
	}
	s.ID = resp.Header.Get("Dillsaddle-Request")
	if opened, ok := ctx.Value(streamIDKey{}).(chan string); ok {
		opened <- s.ID
	}
	first, _ := ctx.Value(firstTokenKey{}).(func())
	return events.Each(ctx, resp, func(e *sse.Event) error {
		err := s.event(e)
		if first != nil && len(s.Tokens) > 0 {
			first()
			first = nil
		}
		return err
	})
}

// event records an event that the caller received.
func (s *Stream) event(e *sse.Event) error {
	if e.ID == s.LastEvent {
		s.repeatedIDs++
	}
	s.LastEvent = strings.Clone(e.ID)
	if string(e.Data) == "[DONE]" {
		s.Done = true
		return nil
	}
	var c streamChunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return errors.Wrap(err, "decode an event")
	}
	if c.Outcome != "" {
		s.Outcome = c.Outcome
	}
	if c.Error != nil {
		s.Code = c.Error.Code
		return nil
	}
	if c.ID != "" {
		s.Generation = c.ID
	}
	if len(c.Choices) > 0 && c.Choices[0].Text != "" {
		s.addToken(c.Choices[0].Text)
	}
	return nil
}

// addToken records a token and the time since the previous one.
func (s *Stream) addToken(text string) {
	now := time.Now()
	if len(s.Tokens) == 0 {
		atomic.StoreInt32(&s.progress, streamRunning)
		s.TimeToFirstToken = now.Sub(s.startedAt)
	} else {
		s.Gaps = append(s.Gaps, now.Sub(s.lastTokenAt).Seconds())
	}
	s.lastTokenAt = now
	s.Tokens = append(s.Tokens, strings.TrimSpace(text))
}

// Check compares the tokens that the caller received with the engines' records: each
// token arrived once, in order and from one generation, and none is missing if the
// stream completed.
func (s *Stream) Check(records []standin.Record) error {
	tag := standin.GenerationTag(s.Generation)
	for n, token := range s.Tokens {
		if token != tag+"."+strconv.Itoa(n) {
			return errors.Errorf("token %d of %s is %q", n, s.Generation, token)
		}
	}
	if s.repeatedIDs > 0 {
		return errors.Errorf("%d events of %s had the same id as the previous event", s.repeatedIDs, s.Generation)
	}
	if s.Code != "" || s.Outcome != "ran" {
		return nil
	}
	for _, r := range records {
		if made, found := r.Tokens[s.Generation]; found {
			if made != len(s.Tokens) {
				return errors.Errorf("%d of %d tokens were delivered as the complete answer", len(s.Tokens), made)
			}
			return nil
		}
	}
	return errors.Errorf("no engine has recorded generation %s", s.Generation)
}

// IsComplete reports whether the stream ended without an error.
func (s *Stream) IsComplete() bool { return s.Done && s.Code == "" && s.Outcome == "ran" }

// Records returns the records of all engines that respond.
func (f *Fleet) Records() []standin.Record {
	var all []standin.Record
	for i := range f.engines {
		if r, err := f.EngineRecord(i); err == nil {
			all = append(all, r)
		}
	}
	return all
}

// RunStreams runs streams concurrently, spread over the boxes, and returns them when all
// have ended. It calls begun once no stream waits for its first token any more.
func (f *Fleet) RunStreams(count int, begun func()) []*Stream {
	streams, wait := f.startStreams(count, func(i int) int { return i % len(f.boxes) })
	waitUntil(streamTimeout, func() bool { return countWithProgress(streams, streamWaiting) == 0 })
	begun()
	wait()
	return streams
}

// startStreams starts streams concurrently and returns them with a function that waits
// until all have ended.
func (f *Fleet) startStreams(count int, box func(int) int) ([]*Stream, func()) {
	streams := make([]*Stream, count)
	var wait sync.WaitGroup
	for i := range streams {
		s := &Stream{startedAt: time.Now()}
		streams[i] = s
		wait.Go(func() {
			if err := f.readStream(context.Background(), s, box(i), nil); err != nil && s.Code == "" {
				s.Code = "link: " + err.Error()
			}
		})
	}
	return streams, wait.Wait
}

// countWithProgress counts the streams with the given progress.
func countWithProgress(streams []*Stream, p streamProgress) int {
	n := 0
	for _, s := range streams {
		if atomic.LoadInt32(&s.progress) == p {
			n++
		}
	}
	return n
}

// configSettleTime is enough time for every box to read and reject a published document.
const configSettleTime = 700 * time.Millisecond
