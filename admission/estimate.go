package admission

import (
	"math"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Estimate is what a box believes of an engine when it places a prompt there.
type Estimate struct {
	MemoryUse          float64       // how full its memory gets with the prompt, as a part of it
	PrefillDelay       time.Duration // until the prompts that came before are read
	ReportAge          time.Duration // since the engine's own word was true; 0 when there is none that counts
	RemotePlacementAge time.Duration // since another box last told of any placement; 0 for never
	UntilFirstEvent    time.Duration // until its first event: until there is room and all prompts are read
}

// Estimate gives what a request would meet at an endpoint.
func (s *Balancer) Estimate(now time.Time, e routing.Endpoint, w Requirements) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(e.ID)
	out := Estimate{
		MemoryUse:    s.fullness(now, l, w),
		PrefillDelay: time.Duration(l.waiting(now, s.rate) / s.rate * float64(time.Second)),
	}
	if age := now.Sub(l.memoryAt); age <= memoryLife {
		out.ReportAge = age
	}
	out.UntilFirstEvent = s.untilFirst(now, l, w)
	if !s.heard.IsZero() {
		out.RemotePlacementAge = now.Sub(s.heard)
	}
	return out
}

// untilFirst estimates the time until a prompt's first event: until enough runs have ended
// that it has room, and until the prompts before it and itself are read.
func (s *Balancer) untilFirst(now time.Time, l *endpointLoad, w Requirements) time.Duration {
	seconds := (l.waiting(now, s.rate) + float64(w.Prompt)) / s.rate
	if over := s.fullness(now, l, w) - 1; over > 0 {
		seconds += over * float64(max(w.Memory, 1)) / s.freed(now)
	}
	return time.Duration(seconds * float64(time.Second))
}

// freed gives the tokens of memory that ended runs give back at one engine in a second.
func (s *Balancer) freed(now time.Time) float64 {
	perEngine := s.over.perSecond(now) / float64(max(len(s.share), 1))
	return math.Max(perEngine, leastFreed)
}

// leastFreed is what an engine gives back at least, in tokens a second, as long as few runs
// ended: one run of some thousand tokens that lasts ten seconds.
const leastFreed = 400.0
