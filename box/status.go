package box

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Program is the program name in a box's status.
const Program = "dillsaddle-node"

// Status is the JSON document that a box serves at /status.
type Status struct {
	Program       string        `json:"program"`
	Box           string        `json:"box"`
	Zone          string        `json:"zone"`
	Ready         bool          `json:"ready"`
	ConfigVersion uint64        `json:"configuration"`
	ListNumber    uint64        `json:"list_changed"` // store revision of the endpoint list's last change
	StoreEra      uint64        `json:"store_era"`    // how often the store was restored from an older backup
	ListAge       string        `json:"list_age"`
	Active        int           `json:"active"`
	DroppedLines  int64         `json:"log_lines_left_out"`
	StoreDown     bool          `json:"store_away"`
	Reader        bool          `json:"reader"`  // this box reads the store for all boxes
	Sharers       int           `json:"sharers"` // boxes that share the retry budget
	Boxes         []Peer        `json:"boxes"`
	Quarantined   []Quarantined `json:"held,omitempty"`

	QuarantinedParts []QuarantinedPart `json:"held_parts,omitempty"`

	Throttled []Throttled `json:"restrained,omitempty"`

	Unreachable []UnreachableService `json:"unreachable,omitempty"`

	Waiting        WaitingRequests `json:"waiting"`
	Engines        []EngineLoad    `json:"engines,omitempty"`
	OmittedEngines int             `json:"engines_left_out,omitempty"`
	PaceClasses    []PaceClass     `json:"pace_classes,omitempty"`
}

// Limits on the length of the lists in a status.
const (
	maxQuarantined = 32
	maxThrottled   = 64
	maxUnreachable = 8 // endpoints of an unreachable service
)

// Throttled is an endpoint that asked for a lower request rate or a pause.
type Throttled struct {
	Endpoint  string   `json:"endpoint"`
	PerSecond *float64 `json:"per_second,omitempty"` // limit over all boxes; nil if the endpoint set none
	Backoff   string   `json:"rest,omitempty"`       // time until this box may send to the endpoint again
}

// UnreachableService is a service whose endpoints accept no connections from this box.
type UnreachableService struct {
	Service   string   `json:"service"`
	For       string   `json:"for"`       // time since it became unreachable
	Endpoints []string `json:"endpoints"` // those whose last connection attempt failed
}

// Quarantined is a request that is refused because several endpoints crashed running it.
type Quarantined struct {
	Content   string   `json:"content"` // digest of the request, as in log lines of placements
	Crashed   []string `json:"ended"`   // the endpoints that crashed
	Remaining string   `json:"for"`     // time until the quarantine ends
}

// QuarantinedPart is a part of prompts whose requests are refused because endpoints crashed at them.
type QuarantinedPart struct {
	Service   string   `json:"service"`
	Part      string   `json:"part"` // ID, as callers name it
	Crashed   []string `json:"ended"`
	Requests  int      `json:"requests"` // different requests at which they crashed
	Remaining string   `json:"for"`      // time until boxes try a request; negative since when they do
}

// Peer is another box in a status.
type Peer struct {
	Box     string `json:"box"`
	Zone    string `json:"zone"`
	Silence string `json:"silence"` // time since it was last heard from
	Leaving bool   `json:"leaving,omitempty"`
}

// isReady reports whether the box can serve requests: it has a configuration and an
// endpoint list, and isn't stopping.
func (b *Box) isReady() bool {
	v := b.state.View()
	return v.Table != nil && v.HasEndpointList && !b.stopping.Load()
}

func (b *Box) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !b.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *Box) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

func (b *Box) serveStatus(w http.ResponseWriter, _ *http.Request) {
	v := b.state.View()
	s := Status{
		Program:      Program,
		StoreDown:    b.state.IsStoreDown(),
		Reader:       b.peers.Reader(),
		Sharers:      b.peers.BudgetShare().Boxes,
		Box:          b.settings.Box,
		Zone:         b.settings.Zone,
		Ready:        b.isReady(),
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
		if len(s.Quarantined) == maxQuarantined {
			break
		}
		s.Quarantined = append(s.Quarantined, Quarantined{
			Content:   h.Content.String(),
			Crashed:   h.Crashed,
			Remaining: h.TimeLeft.Round(time.Second).String(),
		})
	}
	s.QuarantinedParts = b.quarantinedParts(time.Now())
	s.Throttled = b.throttledEndpoints()
	for _, u := range b.gateway.Unreachable() {
		s.Unreachable = append(s.Unreachable, UnreachableService{
			Service:   u.Service,
			For:       time.Since(u.Since).Round(time.Millisecond).String(),
			Endpoints: u.Endpoints[:min(len(u.Endpoints), maxUnreachable)],
		})
	}
	b.addLoad(time.Now(), &s)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		b.log.Warn("status response could not be written", zap.Error(err))
	}
}

// quarantinedParts returns the quarantined parts of prompts for the status.
func (b *Box) quarantinedParts(now time.Time) []QuarantinedPart {
	var all []QuarantinedPart
	for _, s := range b.partQuarantine.Suspects() {
		if len(all) == maxQuarantined {
			break
		}
		all = append(all, QuarantinedPart{
			Service:   s.Part.Service,
			Part:      s.Part.ID.String(),
			Crashed:   s.Crashed,
			Requests:  s.Requests,
			Remaining: s.Until.Sub(now).Round(time.Second).String(),
		})
	}
	return all
}

// throttledEndpoints returns the throttled endpoints for the status.
func (b *Box) throttledEndpoints() []Throttled {
	var all []Throttled
	for _, r := range b.gateway.Throttles(time.Now()) {
		if len(all) == maxThrottled {
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

// largeResponseBytes is the size from which a response of the store is logged. Responses
// with endpoint changes only are smaller.
const largeResponseBytes = 64 << 10

// configDelay is the time from the first announcement of a configuration to its activation.
var configDelay = metrics.NewHistogram("dillsaddle_configuration_wait_seconds")

// storeRestores counts how often the store was restored from an older backup.
var storeRestores = metrics.NewCounter("dillsaddle_store_replaced_total")

// logStoreResponse logs a large response of the store.
func (b *Box) logStoreResponse(call string, bytes int, took time.Duration) {
	if bytes >= largeResponseBytes {
		b.log.Info("large response from the store", zap.String("call", call), zap.Int("bytes", bytes), zap.Duration("took", took))
	}
}

// logInvalidEntry logs a store entry that can't be decoded or isn't valid.
func (b *Box) logInvalidEntry(key string, why error) {
	b.log.Warn("store entry is invalid and ignored", zap.String("key", key), zap.Error(why))
}

// countStoreCall counts a call to the store by its result.
func countStoreCall(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_store_calls_total{result=%q}", result)).Inc()
}
