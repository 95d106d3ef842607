package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/fleet"
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
	mu       sync.Mutex
	state    *core.Reachability
	log      *zap.Logger
	onChange func(cutOff []string) // called with the services that the box is cut off from
}

func newReachability(log *zap.Logger, onChange func(cutOff []string)) *reachability {
	return &reachability{
		state:    core.NewReachability(core.DefaultReachabilityRules()),
		log:      log,
		onChange: onChange,
	}
}

// recordFailure records a send that failed at one of a service's listed endpoints before any byte of
// its answer. It reports whether a probe is needed now.
func (r *reachability) recordFailure(now time.Time, e routing.Endpoint, listed int, kind core.SendFailure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.RecordFailure(now, e.Service, e.ID, listed, kind)
}

// announce calls onChange. The caller holds mu.
func (r *reachability) announce() {
	var cutOff []string
	for _, u := range r.state.Unreachable() {
		cutOff = append(cutOff, u.Service)
	}
	r.onChange(cutOff)
}

// recordAnswer records that an endpoint answered, if only in part.
func (r *reachability) recordAnswer(now time.Time, e routing.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(e.Service, r.state.RecordAnswer(now, e.Service), probeResult{answered: e.ID})
}

// recordServedElsewhere records that another box served a request that this one forwarded to it.
func (r *reachability) recordServedElsewhere(now time.Time, service string, forwardedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(service, r.state.RecordServedElsewhere(now, service, forwardedAt), probeResult{state: engine.PortUnanswered})
}

// recordProbe records the results of a probe and reports whether the box is cut off from the
// service from now on.
func (r *reachability) recordProbe(now time.Time, service string, result probeResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	change := r.state.RecordProbe(now, service, result.outcome())
	r.apply(service, change, result)
	return change.IsCutOff
}

// apply logs a change and informs the other boxes of it. The caller holds mu.
func (r *reachability) apply(service string, change core.ReachabilityChange, result probeResult) {
	switch {
	case change.IsInDoubt:
		r.log.Warn("endpoints of a service accept connections and don't answer this box; requests are tried at other boxes",
			zap.String("service", service),
			zap.Strings("probed", result.failed),
		)
	case change.IsCutOff:
		r.logCutOff(service, result)
		r.announce()
	case change.Lasted > 0:
		r.log.Info("service reachable again", zap.String("service", service), zap.String("endpoint", result.answered), zap.Duration("unreachable_for", change.Lasted))
		r.announce()
	}
}

// logCutOff logs that the box is cut off from a service. The caller holds mu.
func (r *reachability) logCutOff(service string, result probeResult) {
	for _, u := range r.state.Unreachable() {
		if u.Service == service {
			r.log.Warn("service unreachable: no endpoint answers this box; requests go to other boxes",
				zap.String("service", service),
				zap.Int("listed", result.listed),
				zap.Strings("endpoints", u.Endpoints[:min(len(u.Endpoints), maxLoggedEndpoints)]),
				zap.Strings("probed", result.failed),
				zap.String("port", string(result.state)),
			)
		}
	}
}

// cutOffFor returns how long the box has been cut off from a service, or 0 if it isn't.
func (r *reachability) cutOffFor(now time.Time, service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.CutOffFor(now, service)
}

// isSuspect reports whether failures at a service's endpoints may be those of the path.
func (r *reachability) isSuspect(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.IsSuspect(service)
}

// isInDoubt reports whether other boxes should be tried for a service's requests, since its endpoints
// don't answer this one.
func (r *reachability) isInDoubt(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.IsInDoubt(service)
}

// mayBePath reports whether failures at a service's endpoints may be those of the path, so that other
// boxes should not hear of them.
func (r *reachability) mayBePath(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.IsSuspect(service) || r.state.IsInDoubt(service)
}

// acceptsConnections reports whether the box is cut off from endpoints that may be at fault themselves.
func (r *reachability) acceptsConnections(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.AcceptsConnections(service)
}

func (r *reachability) dueProbes(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.DueProbes(now)
}

// Unreachable returns the services whose endpoints this box can't reach, sorted by name.
func (g *Gateway) Unreachable() []core.UnreachableService {
	g.reachability.mu.Lock()
	defer g.reachability.mu.Unlock()
	return g.reachability.state.Unreachable()
}

// The endpoints that a probe checks: more to find out whether the box is cut off than to find out
// whether it still is, which is repeated.
const (
	firstProbeSize = 8
	probeSize      = 3
)

// probeResult is the result of a probe.
type probeResult struct {
	listed   int              // endpoints of the service
	answered string           // an endpoint that answered, or empty
	failed   []string         // those that did not
	state    engine.PortState // of the one of these that got furthest
}

// progress orders the states of ports by how far a status check without an answer got.
var progress = map[engine.PortState]int{
	engine.PortBreaksRequests: 1,
	engine.PortUnanswered:     2,
}

func (r probeResult) outcome() core.ProbeResult {
	switch {
	case r.answered != "":
		return core.ProbeAnswered
	case r.state == engine.PortUnanswered:
		return core.ProbeSilent
	case r.state == engine.PortBreaksRequests:
		return core.ProbeBroken
	}
	return core.ProbeUnreachable
}

// probeUnreachable starts the probes that are due.
func (g *Gateway) probeUnreachable(now time.Time) {
	for _, service := range g.reachability.dueProbes(now) {
		go g.probe(service, probeSize)
	}
}

// probe checks a random sample of a service's endpoints and records whether any answered.
func (g *Gateway) probe(service string, size int) {
	listed := slices.Clone(g.view().Serving(service))
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	sample := listed[:min(size, len(listed))]
	states := make([]engine.PortState, len(sample))
	var wait sync.WaitGroup
	for i, e := range sample {
		wait.Go(func() { states[i] = g.checkStatus(e) })
	}
	wait.Wait()
	result := probeResult{listed: len(listed)}
	for i, e := range sample {
		state := states[i]
		if state == engine.PortOpen {
			result.answered = e.ID
			continue
		}
		result.failed = append(result.failed, e.ID)
		if result.state == "" || progress[state] > progress[result.state] {
			result.state = state
		}
	}
	now := time.Now()
	if g.reachability.recordProbe(now, service, result) {
		g.closeIdle(now, service)
	}
}

// checkStatus returns the state of an endpoint's port, which is open only if the endpoint answered a
// status check, or has none. The port of one that takes no check now tells nothing if it is open.
func (g *Gateway) checkStatus(e routing.Endpoint) engine.PortState {
	path := ""
	if t := g.view().Table; t != nil {
		if s := t.Service(e.Service); s != nil {
			path = g.protocol.StatusPath(s)
		}
	}
	if path == "" {
		return engine.ProbePort(g.dial, e.Address)
	}
	if !g.sendGate.beginStatusCheck(time.Now(), e) {
		if state := engine.ProbePort(g.dial, e.Address); state != engine.PortOpen {
			return state
		}
		return engine.PortUnanswered
	}
	g.counters.statusChecks.Inc()
	state, status := engine.CheckStatus(g.dial, e.Address, path)
	g.sendGate.answered(time.Now(), e, status == http.StatusServiceUnavailable)
	return state
}

// closeIdle closes the idle connections to a service's endpoints.
func (g *Gateway) closeIdle(now time.Time, service string) {
	v := g.view()
	g.pool.Sweep(now, func(id string) bool {
		e, known := v.Endpoint(id)
		return !known || e.Service != service
	})
}

// recordConnectFailure records that no connection to the request's endpoint could be opened, or that
// a new one took no byte. An attempt that ended with the request says nothing about the endpoint.
func (p *proxiedRequest) recordConnectFailure(err error) {
	if p.terminalEvent() != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	p.failedConnects++
	p.gateway.recordUnreachable(p.endpoint, err)
}

// recordUnreachable records that an endpoint accepted no connection.
func (g *Gateway) recordUnreachable(e routing.Endpoint, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_endpoint_connects_failed_total{service=%q,cause=%q}", e.Service, connectFailureOf(err))).Inc()
	g.recordSendFailure(e, core.FailedConnect)
}

// recordUnanswered records that a send to an endpoint ended without a byte of an answer.
func (g *Gateway) recordUnanswered(e routing.Endpoint, kind core.SendFailure) {
	metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_endpoint_sends_unanswered_total{service=%q,cause=%q}", e.Service, kind)).Inc()
	g.recordSendFailure(e, kind)
}

func (g *Gateway) recordSendFailure(e routing.Endpoint, kind core.SendFailure) {
	if g.reachability.recordFailure(time.Now(), e, len(g.view().Serving(e.Service)), kind) {
		go g.probe(e.Service, firstProbeSize)
	}
}

// recordHeadFailure records what a failure to read an answer's head shows about the path: a part of
// a head shows that it works. A connection that the box closed itself shows nothing.
func (p *proxiedRequest) recordHeadFailure(conn *endpointConn, err error) {
	switch {
	case conn.hasReadHead():
		p.gateway.reachability.recordAnswer(time.Now(), p.endpoint)
	case errors.Is(err, net.ErrClosed):
	case engine.TimedOut(err):
		p.gateway.recordUnanswered(p.endpoint, core.FailedSilent)
	default:
		p.gateway.recordUnanswered(p.endpoint, core.FailedBroken)
	}
}

// announceOverdue tells the other boxes that an endpoint's answer is overdue, unless that may be for
// the path to it.
func (g *Gateway) announceOverdue(e routing.Endpoint) {
	if g.reachability.mayBePath(e.Service) {
		return
	}
	g.onPlaced(fleet.Placement{
		Endpoint:      e.ID,
		AnswerOverdue: true,
	})
}

// pathLossDelay is how long the gateway waits for another box to serve requests for a service
// whose endpoints accept no connection, before it takes them for crashed.
const pathLossDelay = 500 * time.Millisecond

// isPathLost reports whether a service's endpoints accept no connection because this box is cut off
// from them, and not because they crashed. Then other boxes serve requests meanwhile.
func (g *Gateway) isPathLost(service string) bool {
	if !g.reachability.isSuspect(service) {
		return false
	}
	from := time.Now()
	if _, ok := g.forwarder.boxes.ForwardingBox(service, func(string) bool { return false }); !ok {
		return false
	}
	time.Sleep(pathLossDelay)
	return g.forwarder.servedSince(from, service)
}
