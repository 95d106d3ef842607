package admission

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// Estimate is what a box believes of an engine when it places a prompt there.
type Estimate struct {
	Full      float64       // how full its memory gets with the prompt, as a part of it
	Ahead     time.Duration // until the prompts that came before are read
	ReportAge time.Duration // since the engine's own word was true; 0 when there is none that counts
	HeardAge  time.Duration // since another box last told of any placement; 0 for never
}

// Estimate gives what a request would meet at an endpoint.
func (s *Spread) Estimate(now time.Time, e routing.Endpoint, w Want) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(e.ID)
	out := Estimate{
		Full:  s.fullness(now, l, w),
		Ahead: time.Duration(l.waiting(now, s.rate) / s.rate * float64(time.Second)),
	}
	if age := now.Sub(l.memoryAt); age <= memoryLife {
		out.ReportAge = age
	}
	if !s.heard.IsZero() {
		out.HeardAge = now.Sub(s.heard)
	}
	return out
}
