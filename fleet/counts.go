package fleet

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/wire"
)

var (
	viewsGiven    = metrics.NewCounter("dillsaddle_views_given_bytes_total")
	viewsGiveTime = metrics.NewHistogram("dillsaddle_views_give_seconds")
	viewsTakeTime = metrics.NewHistogram("dillsaddle_views_take_seconds")
	viewsBusy     = metrics.NewCounter("dillsaddle_views_busy_total")
)

// answered counts the views that this box gives, part by part.
func (p *Peers) answered(a wire.SentAnswer) {
	if a.Kind != (Chunk{}).Kind() {
		return
	}
	viewsGiven.Add(a.Bytes)
	viewsGiveTime.Update(a.WriteTime.Seconds())
}

// viewsCame logs and counts the views that another box gave.
func (p *Peers) viewsCame(from netip.AddrPort, v PeerState, bytes int, asked time.Time) {
	took := time.Since(asked)
	viewsTakeTime.Update(took.Seconds())
	if v.Document == nil {
		return
	}
	p.log.Info("views came", zap.Stringer("box_address", from), zap.Uint64("version", v.Document.Version), zap.Int("bytes", bytes), zap.Duration("took", took))
}
