package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// maxForwards bounds the boxes that one request is forwarded to.
	maxForwards = 2
	// maxFailedConnects is the number of endpoints that a request may fail to connect to before
	// it is forwarded.
	maxFailedConnects = 2
	// forwardExclusion is how long a box that didn't answer a forwarded request gets no others,
	// and shortForwardExclusion how long one that answered that it can't serve the service.
	forwardExclusion      = time.Second
	shortForwardExclusion = 300 * time.Millisecond
	// anyBox stands for all boxes in the exclusions.
	anyBox = ""
	// refuseUnreachableAfter is how long a box must be cut off from a service before it refuses
	// requests that no other box takes, without another attempt to connect. Endpoints that are
	// only silent for a moment answer earlier.
	refuseUnreachableAfter = 2 * time.Second
)

// Forwarding is what a gateway needs of the other boxes to forward requests to them.
type Forwarding interface {
	// ForwardingBox returns a box that can serve a service's requests and for which exclude
	// returns false, and whether there is any.
	ForwardingBox(service string, exclude func(box string) bool) (core.Peer, bool)
	// SetCutOff sets the services whose endpoints this box can't reach.
	SetCutOff(services []string)
}

// WithForwarding sets the other boxes, which serve requests for services that this box is cut off
// from. Without it, such requests are refused.
func WithForwarding(f Forwarding) Option {
	return func(g *Gateway) { g.forwarder.boxes = f }
}

// forwarder holds the connections to other boxes and remembers which could not serve.
type forwarder struct {
	boxes    Forwarding
	pool     *Pool
	mu       sync.Mutex
	excluded map[string]time.Time // until when a box gets no forwarded requests, by name and service
	served   map[string]time.Time // when another box last served a forwarded request, by service
}

func newForwarder() *forwarder {
	return &forwarder{
		boxes:    noForwarding{},
		pool:     NewPool(engine.Dial, func() {}),
		excluded: make(map[string]time.Time),
		served:   make(map[string]time.Time),
	}
}

// noForwarding is the Forwarding of a gateway without other boxes.
type noForwarding struct{}

func (noForwarding) ForwardingBox(string, func(string) bool) (core.Peer, bool) {
	return core.Peer{}, false
}

func (noForwarding) SetCutOff([]string) {}

// exclude keeps a service's requests from a box for a time.
func (f *forwarder) exclude(now time.Time, box, service string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excluded[box+"/"+service] = now.Add(jitter(d))
}

func (f *forwarder) isExcluded(now time.Time, box, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.excluded[box+"/"+service])
}

func (f *forwarder) recordServed(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served[service] = now
}

// servedSince reports whether another box has served a service's request since a time.
func (f *forwarder) servedSince(at time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.served[service].After(at)
}

func (f *forwarder) sweep(now time.Time) {
	f.pool.Sweep(now, func(string) bool { return true })
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, until := range f.excluded {
		if !now.Before(until) {
			delete(f.excluded, key)
		}
	}
}

// chooseBox chooses a box to forward the request to if this box can't send it to an endpoint, and
// reports whether there is one.
func (p *proxiedRequest) chooseBox(now time.Time) bool {
	p.forwardTo = core.Peer{}
	p.copyName = ""
	cutOff := p.gateway.reachability.cutOffFor(now, p.service.Name)
	listed := len(p.view.Serving(p.service.Name))
	isTrial := p.gateway.reachability.isInDoubt(p.service.Name)
	if listed == 0 || (cutOff == 0 && !isTrial && p.failedConnects < min(maxFailedConnects, listed)) {
		return false
	}
	box, ok := p.forwardingBox(now)
	if !ok {
		return false
	}
	p.placeAtBox(now, box, cutOff)
	return true
}

// chooseBoxWithShare chooses a box to forward a request to that this box can't send because its
// shares of all endpoints are used up, and reports whether there is one. Other boxes may have
// shares left if most callers come to this one. If some have none either, the next requests are
// refused for a moment without asking others.
func (p *proxiedRequest) chooseBoxWithShare(now time.Time) bool {
	f := p.gateway.forwarder
	if p.isForwarded() || p.refusal != nil || len(p.tried) > 0 || f.isExcluded(now, anyBox, p.service.Name) {
		return false
	}
	listed := p.allowedEndpoints(func(routing.Endpoint) bool { return true })
	if len(listed) == 0 || len(p.candidates(now)) > 0 {
		return false
	}
	if len(p.forwardedTo) >= maxForwards {
		f.exclude(now, anyBox, p.service.Name, shortForwardExclusion)
		return false
	}
	box, ok := f.boxes.ForwardingBox(p.service.Name, func(box string) bool {
		return slices.Contains(p.forwardedTo, box) || f.isExcluded(now, box, p.service.Name)
	})
	if !ok {
		return false
	}
	p.lacksShare = true
	p.placeAtBox(now, box, 0)
	return true
}

// placeAtBox places the request at another box. cutOff is how long this box has been cut off from
// the service's endpoints, or 0.
func (p *proxiedRequest) placeAtBox(now time.Time, box core.Peer, cutOff time.Duration) {
	p.forwardTo = box
	p.forwardedTo = append(p.forwardedTo, box.Box)
	p.placedAt = now
	p.mu.Lock()
	p.endpoint = routing.Endpoint{}
	p.backup = routing.Endpoint{}
	p.mu.Unlock()
	p.logForward(cutOff)
}

// chooseBoxForCopy chooses a box to continue the stream at the request's endpoint, which has a copy
// of the run that this box can't reach, and reports whether there is one.
func (p *proxiedRequest) chooseBoxForCopy(now time.Time, name string) bool {
	box, ok := p.forwardingBox(now)
	if !ok {
		return false
	}
	p.forwardTo = box
	p.forwardedTo = append(p.forwardedTo, box.Box)
	p.copyName = name
	p.logForward(p.gateway.reachability.cutOffFor(now, p.service.Name), zap.String("endpoint", p.endpoint.ID), zap.String("copy", name))
	return true
}

func (p *proxiedRequest) logForward(cutOff time.Duration, fields ...zap.Field) {
	p.logDecision("forwarded to another box", append(fields,
		zap.String("box", p.forwardTo.Box),
		zap.String("box_zone", p.forwardTo.Zone),
		zap.Duration("box_silence", p.forwardTo.Silence),
		zap.Duration("unreachable_for", cutOff),
		zap.Int("failed_connects", p.failedConnects),
		zap.Bool("shares_used_up", p.lacksShare),
		zap.Stringer("content", p.contentDigest),
	)...)
}

// forwardingBox returns a box to forward the request to, and whether there is one. In a small fleet
// all others may be excluded at the same time, and are better than none.
func (p *proxiedRequest) forwardingBox(now time.Time) (core.Peer, bool) {
	if p.isForwarded() || len(p.forwardedTo) >= maxForwards {
		return core.Peer{}, false
	}
	f := p.gateway.forwarder
	isUsed := func(box string) bool { return slices.Contains(p.forwardedTo, box) }
	box, ok := f.boxes.ForwardingBox(p.service.Name, func(box string) bool { return isUsed(box) || f.isExcluded(now, box, p.service.Name) })
	if ok {
		return box, true
	}
	return f.boxes.ForwardingBox(p.service.Name, isUsed)
}

// mayForward reports whether another box may serve the request if no endpoint is reached.
func (p *proxiedRequest) mayForward(now time.Time) bool {
	_, ok := p.forwardingBox(now)
	return ok
}

// isHopeless reports whether no attempt to serve the request is left: the box has long been cut off
// from its service, and no other box takes it. Endpoints that accept connections may still answer.
func (p *proxiedRequest) isHopeless(now time.Time) bool {
	if p.isForwarded() {
		return p.failedConnects >= maxFailedConnects
	}
	r := p.gateway.reachability
	return r.cutOffFor(now, p.service.Name) >= refuseUnreachableAfter && !r.acceptsConnections(p.service.Name)
}
