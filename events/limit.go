package events

import (
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes is the size of the largest event, without what the reader has buffered before it.
const maxEventBytes = 256 << 10

// errTooLarge reports an event that is larger than maxEventBytes.
var errTooLarge = errors.Errorf("the event is larger than %d bytes", maxEventBytes)

// limitedStream limits the bytes that are read for one event.
type limitedStream struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (l *limitedStream) Read(into []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	n, err := l.source.Read(into[:min(len(into), l.left)])
	l.left -= n
	return n, err
}
