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

// slowShape makes outputs far larger than the buffer that an entry allows a
// caller.
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
		Name:     "a caller takes nothing of its stream",
		Promises: []model.Promise{model.TokensOnce},
		Shape:    slowShape(),
		Run:      callerTakesNothing,
	}
}

// slowLimit is the time in which an entry must have given such a caller up.
const slowLimit = 40 * time.Second

// mostUnread is what a stream may hold for a caller that reads nothing, in bytes:
// the buffer that the entry allows, doubled by the system, and its last room.
const mostUnread = 1 << 20

// mostMemory bounds the entry meanwhile, in bytes.
const mostMemory = 200e6

// callerTakesNothing opens a stream and reads none of it: the entry holds the
// engine's link up and, after its limit, gives the caller up with bounded memory.
// The caller then finds a typed end behind what it left, and continues.
func callerTakesNothing(f *Fleet) (string, error) {
	conn, err := f.openUnread()
	if err != nil {
		return "", err
	}
	defer conn.Close()
	memory, err := f.untilGivenUp()
	if err != nil {
		return "", err
	}
	s, size, err := readLate(conn)
	if err != nil {
		return "", errors.Wrap(err, "read what was left")
	}
	if s.Code != "slow_caller" || s.Outcome != "ran" || !s.Done {
		return "", errors.Errorf("the stream's last event says %q, outcome %q", s.Code, s.Outcome)
	}
	if size > mostUnread {
		return "", errors.Errorf("%d bytes were held for a caller that reads nothing", size)
	}
	before := len(s.Tokens)
	s.Code, s.Done = "", false
	if err := f.Continue(context.Background(), s, 0); err != nil {
		return "", errors.Wrap(err, "continue")
	}
	if !s.Whole() {
		return "", errors.Errorf("the continued stream ended as %q %q", s.Code, s.Body)
	}
	if err := s.Check(f.Records()); err != nil {
		return "", err
	}
	return fmt.Sprintf("given up with a typed end after %d KB and %d tokens, %d more on return; entry at most %.0f MB",
		size>>10, before, len(s.Tokens)-before, memory/1e6), nil
}

// openUnread begins a stream on a link whose caller reads nothing.
func (f *Fleet) openUnread() (*net.TCPConn, error) {
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

// untilGivenUp waits until the entry has given a caller up, and gives the most
// memory that it had meanwhile.
func (f *Fleet) untilGivenUp() (float64, error) {
	var memory float64
	left := until(slowLimit, func() bool {
		m, err := f.Metrics(0, "entry")
		if err != nil {
			return false
		}
		memory = max(memory, m.Sum("process_resident_memory_bytes"))
		return m.Sum("dillsaddle_callers_left_total") > 0
	})
	if !left {
		return memory, errors.Errorf("the caller was not given up within %s", slowLimit)
	}
	if memory > mostMemory {
		return memory, errors.Errorf("the entry grew to %.0f MB", memory/1e6)
	}
	return memory, nil
}

// readLate reads a stream from a link to its end, and gives its bytes.
func readLate(conn *net.TCPConn) (*Stream, int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(slowLimit))
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
