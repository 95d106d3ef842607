package events

import (
	"bytes"
	"context"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"
)

// forceCloser is a stream that can be closed during a read.
type forceCloser interface{ ForceClose() error }

// Each calls handle for each event until the stream ends, handle returns an error or
// ctx is done. handle must not retain the event. An event of more than 256 KiB is an error.
func Each(ctx context.Context, resp *protocol.Response, handle func(*sse.Event) error) error {
	stream := &limitedStream{source: resp.BodyStream()}
	if !resp.IsBodyStream() {
		stream.source = bytes.NewReader(resp.Body())
	}
	var limited protocol.Response
	limited.Header.SetContentTypeBytes(resp.Header.ContentType())
	limited.SetBodyStream(stream, resp.Header.ContentLength())
	reader, err := sse.NewReader(&limited)
	if err != nil {
		return errors.Wrap(err, "the response is not an event stream")
	}
	done, watcherDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-ctx.Done():
			if b, ok := resp.BodyStream().(forceCloser); ok {
				_ = b.ForceClose()
			}
		case <-done:
		}
	}()
	err = read(ctx, reader, stream, handle)
	close(done)
	<-watcherDone
	return err
}

func read(ctx context.Context, reader *sse.Reader, stream *limitedStream, handle func(*sse.Event) error) error {
	event := sse.NewEvent()
	defer event.Release()
	for ctx.Err() == nil {
		stream.left = maxEventBytes
		err := reader.Read(event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	return ctx.Err()
}
