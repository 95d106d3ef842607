package proof

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/model"
)

// slowShape makes outputs that no socket's buffers hold.
func slowShape() Shape {
	shape := DefaultShape()
	shape.Boxes = 1
	shape.Engines = 1
	shape.Median = 19000
	shape.Step = 500 * time.Microsecond
	shape.PerSeq = 0
	shape.Memory = 1000000
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

// slowLimit is the time in which an entry must have given such a caller up: the
// buffers fill, then the limit of the configuration.
const slowLimit = 40 * time.Second

// callerTakesNothing opens a stream and reads none of it: the entry holds the
// engine's link up and, after its limit, gives the caller up with bounded memory;
// another caller is served meanwhile.
func callerTakesNothing(f *Fleet) (string, error) {
	conn, err := net.Dial("tcp", f.boxes[0].Entry.String())
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4096)
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","stream":true}`, Model)
	request := strings.Join([]string{
		"POST /v1/completions HTTP/1.1",
		"Host: entry",
		"Authorization: Bearer " + Key,
		fmt.Sprintf("Content-Length: %d", len(body)),
		"",
		body,
	}, "\r\n")
	if _, err := conn.Write([]byte(request)); err != nil {
		return "", err
	}
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
		return "", errors.Errorf("the caller was not given up within %s", slowLimit)
	}
	if memory > 200e6 {
		return "", errors.Errorf("the entry grew to %.0f MB", memory/1e6)
	}
	return fmt.Sprintf("given up, entry at most %.0f MB", memory/1e6), nil
}
