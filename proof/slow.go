package proof

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/model"
)

// slowShape returns a fleet whose generations are far larger than an entry's buffer for
// a caller.
func slowShape() Shape {
	shape := DefaultShape()
	shape.Boxes = 1
	shape.Engines = 1
	shape.MedianTokens = 6000
	shape.StepTime = 500 * time.Microsecond
	shape.StepPerSequence = 0
	shape.MemoryTokens = 1000000
	return shape
}

func slowScenario() Scenario {
	return Scenario{
		Name:     "a caller reads nothing of its stream",
		Promises: []model.Promise{model.TokensOnce},
		Shape:    slowShape(),
		Run:      callerReadsNothing,
	}
}

// disconnectLimit is the time within which an entry must disconnect a caller that reads
// nothing.
const disconnectLimit = 40 * time.Second

// maxUnreadBytes bounds the data buffered for a caller that reads nothing: the entry's
// buffer with space for the last event, doubled by the kernel.
const maxUnreadBytes = 1 << 20

// maxEntryMemory bounds the entry's resident memory in bytes.
const maxEntryMemory = 200e6

// callerReadsNothing opens a stream and doesn't read it. The entry must stop reading from
// the engine, and disconnect the caller after a limit with bounded memory. The caller
// then finds a typed last event after the buffered ones, and continues the stream.
func callerReadsNothing(f *Fleet) (string, error) {
	conn, err := f.openUnreadStream()
	if err != nil {
		return "", err
	}
	defer conn.Close()
	memory, err := f.waitForDisconnect()
	if err != nil {
		return "", err
	}
	s, size, err := readBuffered(conn)
	if err != nil {
		return "", errors.Wrap(err, "read the buffered events")
	}
	if s.Code != "slow_caller" || s.Outcome != "ran" || !s.Done {
		return "", errors.Errorf("the stream's last event says %q, outcome %q", s.Code, s.Outcome)
	}
	if size > maxUnreadBytes {
		return "", errors.Errorf("%d bytes were buffered for a caller that reads nothing", size)
	}
	before := len(s.Tokens)
	s.Code, s.Done = "", false
	if err := f.Continue(context.Background(), s, 0); err != nil {
		return "", errors.Wrap(err, "continue")
	}
	if !s.IsComplete() {
		return "", errors.Errorf("the continued stream ended as %q %q", s.Code, s.Body)
	}
	if err := s.Check(f.Records()); err != nil {
		return "", err
	}
	return fmt.Sprintf("disconnected with a typed last event after %d KB and %d tokens, %d more after the reconnect; entry used at most %.0f MB",
		size>>10, before, len(s.Tokens)-before, memory/1e6), nil
}

// openUnreadStream starts a stream on a connection that the caller doesn't read.
func (f *Fleet) openUnreadStream() (*net.TCPConn, error) {
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(f.boxes[0].Entry))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4096)
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","stream":true}`, Model)
	request := strings.Join([]string{
		"POST /v1/completions HTTP/1.1",
		"Host: entry",
		"Authorization: Bearer " + Key,
		fmt.Sprintf("Content-Length: %d", len(body)),
		"",
		body,
	}, "\r\n")
	_, err = conn.Write([]byte(request))
	return conn, err
}

// waitForDisconnect waits until the entry has disconnected a caller, and returns the
// entry's peak memory during that time.
func (f *Fleet) waitForDisconnect() (float64, error) {
	var memory float64
	disconnected := waitUntil(disconnectLimit, func() bool {
		m, err := f.Metrics(0, "entry")
		if err != nil {
			return false
		}
		memory = max(memory, m.Sum("process_resident_memory_bytes"))
		return m.Sum("dillsaddle_callers_left_total") > 0
	})
	if !disconnected {
		return memory, errors.Errorf("the caller was not disconnected within %s", disconnectLimit)
	}
	if memory > maxEntryMemory {
		return memory, errors.Errorf("the entry grew to %.0f MB", memory/1e6)
	}
	return memory, nil
}

// readBuffered reads a stream from a connection to its end and returns its size in bytes.
func readBuffered(conn *net.TCPConn) (*Stream, int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(disconnectLimit))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	s := &Stream{
		ID:     answer.Header.Get("Dillsaddle-Request"),
		Status: answer.StatusCode,
	}
	size := 0
	event := &sse.Event{}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		line := lines.Text()
		size += len(line) + 1
		switch {
		case strings.HasPrefix(line, "id: "):
			event.ID = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			event.Data = []byte(line[len("data: "):])
			if err := s.event(event); err != nil {
				return s, size, err
			}
		}
	}
	return s, size, lines.Err()
}
