package wire

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var (
	sentMessages     = metrics.NewCounter("dillsaddle_wire_sent_messages_total")
	sentBytes        = metrics.NewCounter("dillsaddle_wire_sent_bytes_total")
	receivedMessages = metrics.NewCounter("dillsaddle_wire_received_messages_total")
	receivedBytes    = metrics.NewCounter("dillsaddle_wire_received_bytes_total")
)

// Traffic counts what passed over the connections of one table of handlers; the
// process's metrics count all of them.
type Traffic struct {
	SentBytes        atomic.Uint64
	ReceivedBytes    atomic.Uint64
	LateAnswers      atomic.Uint64
	ReceivedMessages atomic.Uint64 // messages
}

func (t *Traffic) sent(size int) {
	t.SentBytes.Add(uint64(size))
	sentMessages.Inc()
	sentBytes.Add(size)
}

func (t *Traffic) received(size int) {
	t.ReceivedBytes.Add(uint64(size))
	t.ReceivedMessages.Add(1)
	receivedMessages.Inc()
	receivedBytes.Add(size)
}
