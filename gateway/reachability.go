package gateway

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

// maxLoggedEndpoints bounds the endpoints that a log line lists.
const maxLoggedEndpoints = 8

// connectFailure is the cause of a failed connection attempt, as metrics and logs name it.
type connectFailure string

// The causes.
const (
	connectTimedOut connectFailure = "timeout"
	connectRefused  connectFailure = "refused"
	connectReset    connectFailure = "reset"
	connectOther    connectFailure = "other"
)

func connectFailureOf(err error) connectFailure {
	switch {
	case engine.TimedOut(err):
		return connectTimedOut
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectRefused
	case errors.Is(err, syscall.ECONNRESET):
		return connectReset
	}
	return connectOther
}

// reachability records which services' endpoints this box reaches, and logs the changes. It is
// safe for concurrent use.
type reachability struct {
	mu    sync.Mutex
	state *core.Reachability
	log   *zap.Logger
}

func newReachability(log *zap.Logger) *reachability {
	return &reachability{
		state: core.NewReachability(core.DefaultReachabilityRules()),
		log:   log,
	}
}

// recordFailure records a failed attempt to connect to one of a service's listed endpoints.
func (r *reachability) recordFailure(now time.Time, e routing.Endpoint, listed int, err error) {
	cause := connectFailureOf(err)
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_endpoint_connects_failed_total{service=%q,cause=%q}", e.Service, cause)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.state.RecordFailure(now, e.Service, e.ID, listed) {
		return
	}
	for _, u := range r.state.Unreachable() {
		if u.Service == e.Service {
			r.log.Warn("service unreachable: no endpoint accepts connections from this box",
				zap.String("service", e.Service),
				zap.Int("listed", listed),
				zap.Strings("endpoints", u.Endpoints[:min(len(u.Endpoints), maxLoggedEndpoints)]),
				zap.String("cause", string(cause)),
				zap.Error(err),
			)
		}
	}
}

// recordAnswer records that an endpoint accepted a connection or answered.
func (r *reachability) recordAnswer(now time.Time, e routing.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lasted := r.state.RecordAnswer(now, e.Service); lasted > 0 {
		r.log.Info("service reachable again", zap.String("service", e.Service), zap.String("endpoint", e.ID), zap.Duration("unreachable_for", lasted))
	}
}

// Unreachable returns the services whose endpoints this box can't reach, sorted by name.
func (g *Gateway) Unreachable() []core.UnreachableService {
	g.reachability.mu.Lock()
	defer g.reachability.mu.Unlock()
	return g.reachability.state.Unreachable()
}
