package admission

import (
	"math"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// maxNeededUse bounds, as a fraction of an engine's memory, what is reserved for one request.
// Waiting until an engine is nearly empty would hold up all requests behind a very large one, and
// leave most of the memory of all engines unused for seconds.
const maxNeededUse = 0.5

// maxRoomFailures is the failure score above which an engine counts as one without room: that of
// two failures in a row. An engine that is gone looks empty, and would get every request while all
// others are full.
const maxRoomFailures = 0.5

// Need is what a request that is sent earlier takes of an engine.
type Need struct {
	Tokens   int    // memory of its run at the expected end
	Prompt   int    // tokens to prefill
	Endpoint string // the engine that it's being sent to; empty if it waits
}

// engineRoom is what is left of an engine.
type engineRoom struct {
	index    int     // in the endpoints to choose from
	total    float64 // memory in tokens
	free     float64 // memory in tokens, below the limit
	queued   float64 // prompt tokens to prefill
	excluded bool    // the request must not be sent there, but others may
}

// PickWithRoom reserves room for the requests ahead, each at the engine with the most room, and
// returns the engine with the lowest score among those that still have room for this request. It
// returns false if there is none, also if one of the requests ahead finds no room: else small
// requests would overtake large ones until these are late.
//
// An engine has room if its memory in use with the request at its expected end stays within
// MaxMemoryUse, and the prefill of the prompts queued there within MaxPrefillDelay.
func (b *Balancer) PickWithRoom(now time.Time, endpoints []routing.Endpoint, ahead []Need, req Requirements) (routing.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rooms, hasOutside := b.rooms(now, endpoints, req)
	maxQueued := req.MaxPrefillDelay.Seconds() * b.prefillRate
	for _, need := range ahead {
		if !reserveRoom(rooms, endpoints, need, maxQueued) {
			return routing.Endpoint{}, false
		}
	}
	need := Need{
		Tokens: req.Tokens,
		Prompt: req.Prompt,
	}
	fitting := make([]int, 0, len(rooms))
	for i := range rooms {
		if !rooms[i].excluded && rooms[i].fits(need, maxQueued) {
			fitting = append(fitting, i)
		}
	}
	if len(fitting) == 0 {
		return routing.Endpoint{}, false
	}
	best := -1
	least := math.Inf(1)
	for _, i := range b.sample(fitting, b.choiceLimit(now, req, hasOutside)) {
		e := endpoints[rooms[i].index]
		// The score doesn't include what is reserved for the requests ahead.
		reserved := prefillDelayCost * (rooms[i].queued - b.queuedTokens(now, e.ID, b.load(e.ID))) / b.prefillRate
		if score := b.score(now, e, req) + reserved; score < least {
			best = rooms[i].index
			least = score
		}
	}
	return endpoints[best], true
}

// rooms returns what is left of each engine of the box's group and of a few others, and whether
// there are others.
func (b *Balancer) rooms(now time.Time, endpoints []routing.Endpoint, req Requirements) (rooms []engineRoom, hasOutside bool) {
	rooms = make([]engineRoom, 0, len(endpoints))
	var outside []int
	for i := range endpoints {
		if b.isOutsideGroup(endpoints[i].ID) {
			outside = append(outside, i)
			continue
		}
		rooms = append(rooms, b.room(now, endpoints, i, req))
	}
	for _, i := range b.sample(outside, outsideGroupChoices) {
		rooms = append(rooms, b.room(now, endpoints, i, req))
	}
	return rooms, len(outside) > 0
}

func (b *Balancer) room(now time.Time, endpoints []routing.Endpoint, i int, req Requirements) engineRoom {
	id := endpoints[i].ID
	l := b.load(id)
	total := float64(max(req.Memory, 1))
	if l.hasReport(now) {
		total = float64(l.report.Total)
	}
	used := b.memoryUse(now, l, Requirements{Memory: req.Memory})
	r := engineRoom{
		index:    i,
		total:    total,
		free:     (req.MaxMemoryUse - used) * total,
		queued:   b.queuedTokens(now, id, l),
		excluded: req.Exclude[id],
	}
	if now.Before(l.avoidUntil) || l.isSuspect(now, req) || l.failureScore(now) > maxRoomFailures {
		r.free = math.Inf(-1)
	}
	return r
}

// queuedTokens estimates the prompt tokens that wait for prefill at an engine.
func (b *Balancer) queuedTokens(now time.Time, id string, l *endpointLoad) float64 {
	queued := l.backlog(now, b.prefillRate)
	if b.isOutsideGroup(id) {
		queued += b.unreportedPromptTokens(now, l)
	}
	return queued
}

// fits reports whether an engine has room for a request.
func (r *engineRoom) fits(need Need, maxQueued float64) bool {
	return r.free >= min(float64(need.Tokens), maxNeededUse*r.total) && r.queued <= maxQueued
}

// reserveRoom reserves what a request takes and reports whether there was room. A request that
// is being sent takes it in any case.
func reserveRoom(rooms []engineRoom, endpoints []routing.Endpoint, need Need, maxQueued float64) bool {
	best := -1
	for i := range rooms {
		r := &rooms[i]
		if need.Endpoint != "" {
			if endpoints[r.index].ID == need.Endpoint {
				best = i
				break
			}
			continue
		}
		if r.fits(need, maxQueued) && (best < 0 || r.free > rooms[best].free) {
			best = i
		}
	}
	if best < 0 {
		return need.Endpoint != ""
	}
	rooms[best].free -= float64(need.Tokens)
	rooms[best].queued += float64(need.Prompt)
	return true
}

// The reasons why no engine has room for a request.
const (
	ReasonMemory  = "memory"
	ReasonPrefill = "prefill"
	ReasonOrder   = "requests ahead" // there is room, but not besides what requests ahead take
)

// WhyNoRoom returns the reason why PickWithRoom found no engine.
func (b *Balancer) WhyNoRoom(now time.Time, endpoints []routing.Endpoint, req Requirements) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	need := Need{
		Tokens: req.Tokens,
		Prompt: req.Prompt,
	}
	reason := ReasonMemory
	rooms, _ := b.rooms(now, endpoints, req)
	for _, r := range rooms {
		switch {
		case r.excluded:
		case r.fits(need, req.MaxPrefillDelay.Seconds()*b.prefillRate):
			return ReasonOrder
		case r.fits(need, math.Inf(1)):
			reason = ReasonPrefill
		}
	}
	return reason
}

// PrefillTime estimates how long an engine takes to prefill a prompt.
func (b *Balancer) PrefillTime(prompt int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(prompt) / b.prefillRate * float64(time.Second))
}

// RemotePlacementAge returns the time since another box last reported a placement, or 0 if none
// did.
func (b *Balancer) RemotePlacementAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remotePlacementAt.IsZero() {
		return 0
	}
	return now.Sub(b.remotePlacementAt)
}
