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

// Stream is what a caller received of one stream.
type Stream struct {
	ID               string
	Generation       string
	Tokens           []string
	LastEvent        string
	Done             bool
	Outcome          string
	Code             string
	Status           int
	Body             string
	TimeToFirstToken time.Duration
	Gaps             []float64 // seconds between tokens
	began            time.Time
	last             time.Time
	sharedIDs        int   // events with the id of the one before
	progress         int32 // a streamProgress, read and written atomically
}

// streamProgress says how far a stream is, as its caller sees it.
type streamProgress = int32

// A stream waits for its first token, is under way, and has ended.
const (
	streamWaits streamProgress = iota
	streamUnderWay
	streamEnded
)

// streamChunk is the part of an event that a caller reads.
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

// longestStream bounds a caller's patience.
const longestStream = 2 * time.Minute

// ReadStream begins a stream at a box and reads it to its end, or until the context
// ends it.
func (f *Fleet) ReadStream(ctx context.Context, boxIndex int, headers map[string]string) (*Stream, error) {
	s := &Stream{began: time.Now()}
	return s, f.open(ctx, s, boxIndex, headers)
}

func (f *Fleet) open(ctx context.Context, s *Stream, boxIndex int, headers map[string]string) error {
	defer atomic.StoreInt32(&s.progress, streamEnded)
	body := fmt.Sprintf(`{"model":%q,"prompt":"a prompt","stream":true}`, Model)
	return f.read(ctx, s, boxIndex, "POST", "/v1/completions", headers, []byte(body))
}

// Continue goes on with a stream at a box after the caller's last event.
func (f *Fleet) Continue(ctx context.Context, s *Stream, boxIndex int) error {
	return f.read(ctx, s, boxIndex, "GET", "/v1/streams/"+s.ID, map[string]string{"Last-Event-ID": s.LastEvent}, nil)
}

type openedKey struct{}

// WithID has a stream's id sent to a channel as soon as it is known.
func WithID(ctx context.Context, opened chan string) context.Context {
	return context.WithValue(ctx, openedKey{}, opened)
}

type firstTokenKey struct{}

// WithFirstToken has a function called when a stream's first token is there.
func WithFirstToken(ctx context.Context, first func()) context.Context {
	return context.WithValue(ctx, firstTokenKey{}, first)
}

func (f *Fleet) read(ctx context.Context, s *Stream, boxIndex int, method, path string, headers map[string]string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, longestStream)
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
	if opened, ok := ctx.Value(openedKey{}).(chan string); ok {
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

func (s *Stream) event(e *sse.Event) error {
	if e.ID == s.LastEvent {
		s.sharedIDs++
	}
	s.LastEvent = strings.Clone(e.ID)
	if string(e.Data) == "[DONE]" {
		s.Done = true
		return nil
	}
	var c streamChunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return errors.Wrap(err, "read an event")
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
		s.token(c.Choices[0].Text)
	}
	return nil
}

func (s *Stream) token(text string) {
	now := time.Now()
	if len(s.Tokens) == 0 {
		atomic.StoreInt32(&s.progress, streamUnderWay)
		s.TimeToFirstToken = now.Sub(s.began)
	} else {
		s.Gaps = append(s.Gaps, now.Sub(s.last).Seconds())
	}
	s.last = now
	s.Tokens = append(s.Tokens, strings.TrimSpace(text))
}

// Check judges what the caller received against the engines' records: every
// token once, in order, of one generation; all of them if the stream was given
// as whole.
func (s *Stream) Check(records []standin.Record) error {
	tag := standin.GenerationTag(s.Generation)
	for n, token := range s.Tokens {
		if token != tag+"."+strconv.Itoa(n) {
			return errors.Errorf("token %d of %s is %q", n, s.Generation, token)
		}
	}
	if s.sharedIDs > 0 {
		return errors.Errorf("%d events of %s had the id of the one before", s.sharedIDs, s.Generation)
	}
	if s.Code != "" || s.Outcome != "ran" {
		return nil
	}
	for _, r := range records {
		if made, here := r.Tokens[s.Generation]; here {
			if made != len(s.Tokens) {
				return errors.Errorf("%d of %d tokens were given as the whole answer", len(s.Tokens), made)
			}
			return nil
		}
	}
	return errors.Errorf("no engine's record has the generation %s", s.Generation)
}

// Whole reports whether the stream came to its end without an error.
func (s *Stream) Whole() bool { return s.Done && s.Code == "" && s.Outcome == "ran" }

// Records gives the records of the engines that answer.
func (f *Fleet) Records() []standin.Record {
	var all []standin.Record
	for i := range f.engines {
		if r, err := f.EngineRecord(i); err == nil {
			all = append(all, r)
		}
	}
	return all
}

// Many opens streams side by side over the boxes and calls a function when all
// have begun, as their callers see it; it gives the streams when all have ended.
func (f *Fleet) Many(count int, begun func()) []*Stream {
	streams, wait := f.openAll(count, func(i int) int { return i % len(f.boxes) })
	until(longestStream, func() bool { return countProgress(streams, streamWaits) == 0 })
	begun()
	wait()
	return streams
}

// openAll opens streams side by side and gives them with a function that waits
// for their ends.
func (f *Fleet) openAll(count int, box func(int) int) ([]*Stream, func()) {
	streams := make([]*Stream, count)
	var wait sync.WaitGroup
	for i := range streams {
		s := &Stream{began: time.Now()}
		streams[i] = s
		wait.Go(func() {
			if err := f.open(context.Background(), s, box(i), nil); err != nil && s.Code == "" {
				s.Code = "link: " + err.Error()
			}
		})
	}
	return streams, wait.Wait
}

func countProgress(streams []*Stream, p streamProgress) int {
	n := 0
	for _, s := range streams {
		if atomic.LoadInt32(&s.progress) == p {
			n++
		}
	}
	return n
}

// settle is the time in which a published document has been read and refused.
const settle = 700 * time.Millisecond
