package gateway

import (
	"sync"

	"go.uber.org/zap"
)

// unanswered holds the sends whose answers, or the first events of whose streams, have not
// begun. It is safe for concurrent use.
type unanswered struct {
	mu    sync.Mutex
	sends map[string]map[*overdueTimer]bool // by endpoint ID
}

func newUnanswered() *unanswered {
	return &unanswered{sends: make(map[string]map[*overdueTimer]bool)}
}

func (u *unanswered) add(o *overdueTimer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := o.run.endpoint.ID
	if u.sends[id] == nil {
		u.sends[id] = make(map[*overdueTimer]bool)
	}
	u.sends[id][o] = true
}

func (u *unanswered) remove(o *overdueTimer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := o.run.endpoint.ID
	delete(u.sends[id], o)
	if len(u.sends[id]) == 0 {
		delete(u.sends, id)
	}
}

// at returns the sends to an endpoint.
func (u *unanswered) at(endpoint string) []*overdueTimer {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]*overdueTimer, 0, len(u.sends[endpoint]))
	for o := range u.sends[endpoint] {
		all = append(all, o)
	}
	return all
}

// leaveUnanswered ends the sends to a leaving engine that have no event yet and whose requests
// may be sent to another one: they have no memory that could be moved. The others are left
// there, since they may run before the engine ends.
func (g *Gateway) leaveUnanswered(endpoint string) {
	for _, o := range g.unanswered.at(endpoint) {
		p := o.proxiedRequest
		engine := p.service.Engine
		if engine == nil || !engine.SupportsMoves || !o.mayRetryElsewhere || p.sharedEvents.Load() > 0 || !g.hasSpareRetry(p.service.Name) {
			continue
		}
		p.logAsync("prompt is sent elsewhere: its engine leaves before its first event", zap.String("endpoint", endpoint))
		_ = o.endpointConn.Close()
	}
}

// hasSpareRetry reports whether the service's retry budget allows one more send than the streams
// of leaving engines need: these would be lost without it, while a prompt may still be answered.
func (g *Gateway) hasSpareRetry(service string) bool {
	return g.availableRetries(service) > g.countStreams(service).leaving
}
