package box

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Program names the process in its status.
const Program = "dillsaddle-node"

// Status is what a box tells its operators of itself.
type Status struct {
	Program       string        `json:"program"`
	Box           string        `json:"box"`
	Zone          string        `json:"zone"`
	Ready         bool          `json:"ready"`
	ConfigVersion uint64        `json:"configuration"`
	ListNumber    uint64        `json:"list_changed"` // the store's revision
	StoreEra      uint64        `json:"store_era"`    // how often the store came back from an older copy
	ListAge       string        `json:"list_age"`
	Active        int           `json:"active"`
	DroppedLines  int64         `json:"log_lines_left_out"`
	StoreDown     bool          `json:"store_away"`
	Reader        bool          `json:"reader"`  // whether it reads the store for all
	Sharers       int           `json:"sharers"` // boxes that share the retry budget
	Boxes         []Peer        `json:"boxes"`
	Quarantined   []Quarantined `json:"held,omitempty"` // requests that no endpoint may get

	Throttled []Throttled `json:"restrained,omitempty"` // endpoints that asked for fewer requests
}

// heldMost bounds the requests of a status, restrainedMost its endpoints.
const (
	heldMost       = 32
	restrainedMost = 64
)

// Throttled is an endpoint that asked for fewer requests, or for none for a while.
type Throttled struct {
	Endpoint  string   `json:"endpoint"`
	PerSecond *float64 `json:"per_second,omitempty"` // from all boxes together; none where it named no limit
	Backoff   string   `json:"rest,omitempty"`       // how much longer it wants nothing from this box
}

// Quarantined is a request under which endpoints ended.
type Quarantined struct {
	Content   string   `json:"content"` // its digest, as in the log lines of placements
	Crashed   []string `json:"ended"`   // the endpoints
	Remaining string   `json:"for"`     // how much longer
}

// Peer is another box, as this one knows it.
type Peer struct {
	Box     string `json:"box"`
	Zone    string `json:"zone"`
	Silence string `json:"silence"` // since it was last heard of
	Leaving bool   `json:"leaving,omitempty"`
}

// ready tells whether the box can serve: it knows a configuration and the
// endpoints, and isn't leaving.
func (b *Box) ready() bool {
	v := b.belief.View()
	return v.Table != nil && v.HasEndpointList && !b.stopping.Load()
}

func (b *Box) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !b.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *Box) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

func (b *Box) answerStatus(w http.ResponseWriter, _ *http.Request) {
	v := b.belief.View()
	s := Status{
		Program:      Program,
		StoreDown:    b.belief.IsStoreDown(),
		Reader:       b.peers.Reader(),
		Sharers:      b.peers.Sharers(),
		Box:          b.settings.Box,
		Zone:         b.settings.Zone,
		Ready:        b.ready(),
		ListNumber:   v.ListRevision.Number(),
		StoreEra:     v.ListRevision.Era(),
		ListAge:      time.Since(v.ConfirmedAt).Round(time.Millisecond).String(),
		Active:       b.gateway.Active(),
		DroppedLines: b.sink.DroppedLines(),
	}
	if v.Table != nil {
		s.ConfigVersion = v.Table.Version()
	}
	for _, m := range b.peers.Members() {
		s.Boxes = append(s.Boxes, Peer{
			Box:     m.Box,
			Zone:    m.Zone,
			Silence: m.Silence.Round(time.Millisecond).String(),
			Leaving: m.Leaving,
		})
	}
	for _, h := range b.quarantine.All(time.Now()) {
		if len(s.Quarantined) == heldMost {
			break
		}
		s.Quarantined = append(s.Quarantined, Quarantined{
			Content:   h.Content.String(),
			Crashed:   h.Crashed,
			Remaining: h.TimeLeft.Round(time.Second).String(),
		})
	}
	s.Throttled = b.restrained()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		b.log.Warn("status was not taken", zap.Error(err))
	}
}

func (b *Box) restrained() []Throttled {
	var all []Throttled
	for _, r := range b.gateway.Throttles(time.Now()) {
		if len(all) == restrainedMost {
			break
		}
		shown := Throttled{Endpoint: r.Endpoint}
		if r.Limited {
			shown.PerSecond = &r.PerSecond
		}
		if r.Backoff > 0 {
			shown.Backoff = r.Backoff.Round(time.Millisecond).String()
		}
		all = append(all, shown)
	}
	return all
}

// largeStoreAnswer is the size in bytes from which an answer of the store has a log
// line; changes of endpoints take less.
const largeStoreAnswer = 64 << 10

// configurationWait is how long boxes that had heard of a configuration were without
// it.
var configurationWait = metrics.NewHistogram("dillsaddle_configuration_wait_seconds")

// storeEras counts how often the store came back from an older copy.
var storeEras = metrics.NewCounter("dillsaddle_store_replaced_total")

// storeAnswered logs a large answer of the store.
func (b *Box) storeAnswered(call string, bytes int, took time.Duration) {
	if bytes >= largeStoreAnswer {
		b.log.Info("large answer of the store", zap.String("call", call), zap.Int("bytes", bytes), zap.Duration("took", took))
	}
}

// entryUnreadable logs an entry of the store that names nothing to use.
func (b *Box) entryUnreadable(key string, why error) {
	b.log.Warn("an entry of the store is of no use, the others hold", zap.String("key", key), zap.Error(why))
}

// countStoreCalls counts the calls to the store by their result.
func countStoreCalls(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_store_calls_total{result=%q}", result)).Inc()
}
