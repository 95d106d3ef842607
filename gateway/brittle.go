package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// minBrittlePause and maxBrittlePause are how long a box without a share at any endpoint of a
	// brittle service sends nothing after a rejection; the pause doubles with each further one.
	minBrittlePause = time.Second
	maxBrittlePause = 8 * time.Second
)

// brittleLimiter keeps this box's requests to services whose endpoints fail when they reject too
// many within its share of what they bear from all boxes together. Without it, all boxes would
// send their requests to endpoints that are full.
type brittleLimiter struct {
	any       atomic.Bool // whether a service is brittle; lets most lookups skip the lock
	mu        sync.Mutex
	share     func(endpoint string, units int) int // returns how many of an endpoint's units are this box's
	log       *zap.Logger
	services  map[string]*brittleService
	endpoints map[string]*brittleEndpoint // by endpoint ID
}

// brittleService is a service whose endpoints announced that they are brittle.
type brittleService struct {
	rejections int // that each endpoint bears per second, from all boxes together
	// The fields below limit a box that has no share at any endpoint.
	unanswered  int
	pause       time.Duration
	pausedUntil time.Time
}

// brittleEndpoint is this box's part of the load of one brittle endpoint.
type brittleEndpoint struct {
	limiter        *core.RejectionLimiter
	places         int // this box's share of the endpoint's slots and rejections
	rejections     int // of the rejections alone
	perSecond      int // rejections that the shares were computed for
	shareUpdatedAt time.Time
	usedAt         time.Time
}

func newBrittleLimiter() *brittleLimiter {
	return &brittleLimiter{
		share:     func(_ string, units int) int { return units },
		log:       zap.NewNop(),
		services:  make(map[string]*brittleService),
		endpoints: make(map[string]*brittleEndpoint),
	}
}

// recordAnswer records whether an endpoint announced in an answer that it is brittle, which goes for
// all endpoints of its service.
func (b *brittleLimiter) recordAnswer(service string, isBrittle bool, rejections int) {
	if !isBrittle && !b.any.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	switch {
	case !isBrittle && s != nil:
		delete(b.services, service)
		b.log.Info("endpoints of a service no longer brittle", zap.String("service", service))
	case isBrittle && s == nil:
		b.services[service] = &brittleService{
			rejections: rejections,
			pause:      minBrittlePause,
		}
		b.log.Info("endpoints of a service brittle: they fail if they reject more requests", zap.String("service", service), zap.Int("rejections_per_second", rejections))
	case isBrittle:
		s.rejections = rejections
	}
	b.any.Store(len(b.services) > 0)
}

// state returns the states of a brittle endpoint and its service, or nil for any other. The caller
// holds mu.
func (b *brittleLimiter) state(now time.Time, e routing.Endpoint) (*brittleService, *brittleEndpoint) {
	s := b.services[e.Service]
	if s == nil {
		return nil, nil
	}
	entry := b.endpoints[e.ID]
	if entry == nil {
		entry = &brittleEndpoint{limiter: core.NewRejectionLimiter(core.DefaultRejectionRules(), rand.Float64)}
		b.endpoints[e.ID] = entry
	}
	if entry.perSecond != s.rejections || now.Sub(entry.shareUpdatedAt) > shareTTL {
		entry.perSecond = s.rejections
		entry.places = b.share(e.ID, e.Slots+s.rejections)
		entry.rejections = b.share(e.ID, s.rejections)
		entry.shareUpdatedAt = now
	}
	entry.usedAt = now
	return s, entry
}

// canSend reports whether one more request may be sent. The caller holds mu. A box that has no share
// of the endpoint may have one request unanswered at the whole service, unless it was rejected.
func (s *brittleService) canSend(now time.Time, entry *brittleEndpoint) bool {
	if entry.places > 0 {
		return entry.limiter.CanSend(now, entry.places, entry.rejections)
	}
	return s.unanswered == 0 && !now.Before(s.pausedUntil) && !entry.limiter.HasRejected(now)
}

// isExhausted reports whether a brittle endpoint takes no request from this box now.
func (b *brittleLimiter) isExhausted(now time.Time, e routing.Endpoint) bool {
	if !b.any.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, entry := b.state(now, e)
	return s != nil && !s.canSend(now, entry)
}

// send records a request to an endpoint and reports whether it may be sent. If it may, answered must
// be called for it. One that continues from a copy always may: its place is kept.
func (b *brittleLimiter) send(now time.Time, e routing.Endpoint, continues bool) bool {
	if !b.any.Load() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, entry := b.state(now, e)
	if s == nil {
		return true
	}
	if !continues && !s.canSend(now, entry) {
		return false
	}
	entry.limiter.Sent()
	s.unanswered++
	return true
}

// answered records that an endpoint answered or rejected a request, or that no answer will come.
func (b *brittleLimiter) answered(now time.Time, e routing.Endpoint, isRejected bool) {
	if !b.any.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, entry := b.state(now, e)
	if s == nil {
		return
	}
	entry.limiter.Answered(now, isRejected)
	s.unanswered = max(s.unanswered-1, 0)
	if !isRejected {
		s.pause = minBrittlePause
		return
	}
	s.pausedUntil = now.Add(jitter(s.pause))
	s.pause = min(2*s.pause, maxBrittlePause)
}

// sweep drops endpoints that were not used for a while.
func (b *brittleLimiter) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, entry := range b.endpoints {
		if now.Sub(entry.usedAt) > maxBrittlePause && entry.limiter.Unanswered() == 0 {
			delete(b.endpoints, id)
		}
	}
}
