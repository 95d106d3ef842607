package events

import (
	"context"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"
)

// breaker is a stream that can be closed while somebody reads it.
type breaker interface{ ForceClose() error }

// Each calls a function for each event until the stream ends, the function fails
// or the context ends. The event must not be kept.
func Each(ctx context.Context, resp *protocol.Response, do func(*sse.Event) error) error {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return errors.Wrap(err, "no event stream was answered")
	}
	ended, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-ctx.Done():
			if b, ok := resp.BodyStream().(breaker); ok {
				_ = b.ForceClose()
			}
		case <-ended:
		}
	}()
	err = read(ctx, reader, do)
	close(ended)
	<-watched
	return err
}

func read(ctx context.Context, reader *sse.Reader, do func(*sse.Event) error) error {
	event := sse.NewEvent()
	defer event.Release()
	for ctx.Err() == nil {
		err := reader.Read(event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := do(event); err != nil {
			return err
		}
	}
	return ctx.Err()
}
