package fleet

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/wire"
)

var (
	sentStateBytes = metrics.NewCounter("dillsaddle_views_given_bytes_total")
	chunkSendTime  = metrics.NewHistogram("dillsaddle_views_give_seconds")
	stateFetchTime = metrics.NewHistogram("dillsaddle_views_take_seconds")
	busyAnswers    = metrics.NewCounter("dillsaddle_views_busy_total")
)

// recordSentChunk updates the metrics of sent state.
func (p *Peers) recordSentChunk(a wire.SentAnswer) {
	if a.Kind != (Chunk{}).Kind() {
		return
	}
	sentStateBytes.Add(a.Bytes)
	chunkSendTime.Update(a.WriteTime.Seconds())
}

// recordFetchedState updates the metrics of fetched state and logs fetched configurations.
func (p *Peers) recordFetchedState(from netip.AddrPort, newer PeerState, bytes int, startedAt time.Time) {
	took := time.Since(startedAt)
	stateFetchTime.Update(took.Seconds())
	if newer.Document == nil {
		return
	}
	p.log.Info("state received from box", zap.Stringer("box_address", from), zap.Uint64("version", newer.Document.Version), zap.Int("bytes", bytes), zap.Duration("took", took))
}
