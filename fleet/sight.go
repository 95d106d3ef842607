package fleet

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/wire"
)

// largeAnswer is the size in bytes from which views that a box gave or got have a
// log line of their own: an answer that the usual changes of some endpoints fit
// into says nothing.
const largeAnswer = 8 << 10

var (
	viewsGiven    = metrics.NewCounter("dillsaddle_views_given_bytes_total")
	viewsGiveTime = metrics.NewHistogram("dillsaddle_views_give_seconds")
	viewsTakeTime = metrics.NewHistogram("dillsaddle_views_take_seconds")
)

// answered logs and counts the views that this box gave.
func (p *Peers) answered(a wire.Answered) {
	if a.Kind != (Views{}).Kind() {
		return
	}
	viewsGiven.Add(a.Bytes)
	viewsGiveTime.Update(a.Took.Seconds())
	if a.Bytes < largeAnswer {
		return
	}
	p.log.Info("views given", zap.Stringer("box_address", a.Conn.Remote()), zap.Int("bytes", a.Bytes), zap.Duration("took", a.Took), zap.Error(a.Err))
}

// viewsCame logs and counts the views that another box gave.
func (p *Peers) viewsCame(from netip.AddrPort, v Views, asked time.Time) {
	took := time.Since(asked)
	viewsTakeTime.Update(took.Seconds())
	if v.Document == nil {
		return
	}
	p.log.Info("views came", zap.Stringer("box_address", from), zap.Uint64("version", v.Document.Version), zap.Duration("took", took))
}

// Waited gives how long a process that had heard of a version was without it.
func (c Change) Waited(now time.Time) time.Duration {
	if c.Announced.IsZero() {
		return 0
	}
	return now.Sub(c.Announced)
}
