package admission

import "time"

// WaitRules determine when a request is sent, waits for room or is refused.
type WaitRules struct {
	MaxMemoryUse          float64       // highest fraction of an engine's memory in use after a request with time to wait
	UrgentMaxMemoryUse    float64       // the same for requests without time to wait
	MaxPrefillDelay       time.Duration // longest delay by prompts queued at the engine, for requests with time to wait
	UrgentPrefillFraction float64       // the same for requests without, as a fraction of their target
	LimitFactor           float64       // multiple of its target after which a request stops waiting
	RefusalSlack          float64       // fraction of the target by which an estimate may exceed the time that is left
	MinRetryAfter         time.Duration // shortest Retry-After of a refusal
}

// DefaultWaitRules returns the default rules.
func DefaultWaitRules() WaitRules {
	return WaitRules{
		// The rest is for urgent requests, whose short runs then rarely preempt a long one.
		MaxMemoryUse:       0.9,
		UrgentMaxMemoryUse: 1,
		// About half a prompt: the engine is busy without a break, and a queued prompt can't
		// be reordered and is lost with its engine.
		MaxPrefillDelay: 150 * time.Millisecond,
		// The prompt's own prefill and a step fit into the rest of the target.
		UrgentPrefillFraction: 1.0 / 3,
		// Callers with a target rarely wait for longer than this.
		LimitFactor: 2.5,
		// Estimates vary by about as much; a later request may still be sent in time.
		RefusalSlack: 0.5,
		// By then another engine is likely to have room.
		MinRetryAfter: 300 * time.Millisecond,
	}
}

// Limits sets the limits of room for a request in its requirements.
func (r WaitRules) Limits(req Requirements, target time.Duration, hasTime bool) Requirements {
	req.MaxMemoryUse = r.MaxMemoryUse
	req.MaxPrefillDelay = r.MaxPrefillDelay
	if !hasTime {
		req.MaxMemoryUse = r.UrgentMaxMemoryUse
		req.MaxPrefillDelay = time.Duration(r.UrgentPrefillFraction * float64(target))
	}
	return req
}

// WaitTimes are the times that bound a wait.
type WaitTimes struct {
	Start    time.Time     // when the request arrived
	Target   time.Duration // target for the time to its first event
	Deadline time.Time
	Prefill  time.Duration // time to prefill its prompt
	Answer   time.Duration // time from sending it to the end of a typical answer
}

// Bounds returns the latest time at which the request can be sent and still meet its target, and
// the time at which it stops waiting: when it has missed its target by far, or when the rest of
// the deadline is what a typical answer needs.
func (r WaitRules) Bounds(t WaitTimes) (dueAt, limitAt time.Time) {
	dueAt = t.Start.Add(t.Target - t.Prefill)
	limitAt = t.Start.Add(time.Duration(r.LimitFactor * float64(t.Target)))
	if latest := t.Deadline.Add(-t.Answer); latest.Before(limitAt) {
		limitAt = latest
	}
	return dueAt, limitAt
}

// WaitAction is what happens to a request.
type WaitAction string

// The actions.
const (
	SendToRoom   WaitAction = "send"          // to the engine that has room
	SendAnywhere WaitAction = "send anywhere" // to the best engine, whether it has room or not
	Wait         WaitAction = "wait"
	Refuse       WaitAction = "refuse"
)

// WaitState is what a decision on a request is based on.
type WaitState struct {
	Request       WaitingRequest
	Target        time.Duration
	HasRoom       bool    // an engine has room besides what is reserved for the requests ahead
	HasBegun      bool    // the request waits or has waited, or may have run
	IsStopping    bool    // the box stops soon
	Contended     bool    // other requests of its priority or a higher one wait
	AheadTokens   int     // of the requests ahead, at the expected ends of their runs
	SentPerSecond float64 // tokens of the requests of its priority or a lower one that the group sent lately
}

// WaitDecision is the decision on a request.
type WaitDecision struct {
	Action   WaitAction
	Estimate time.Duration // of the wait; 0 if unknown or if no request is ahead
}

// Decide decides what happens to a request now. It addresses loads beyond the engines' capacity:
// requests wait in their order, and those that certainly can't be served in time are refused
// before they wait.
func (r WaitRules) Decide(now time.Time, s WaitState) WaitDecision {
	switch {
	case s.HasRoom:
		return WaitDecision{Action: SendToRoom}
	case s.IsStopping, !now.Before(s.Request.LimitAt):
		return WaitDecision{Action: SendAnywhere}
	}
	d := WaitDecision{
		Action:   Wait,
		Estimate: estimateWait(s.AheadTokens, s.SentPerSecond),
	}
	patience := s.Request.DueAt.Sub(now) + time.Duration(r.RefusalSlack*float64(s.Target))
	if !s.HasBegun && s.Contended && d.Estimate > 0 && d.Estimate > patience {
		d.Action = Refuse
	}
	return d
}

// RetryAfter returns the time after which a refused request may return, without jitter.
func (r WaitRules) RetryAfter(estimate time.Duration) time.Duration {
	return max(estimate, r.MinRetryAfter)
}

// maxEstimate bounds estimates, which are huge while hardly anything is sent.
const maxEstimate = time.Minute

// estimateWait returns the time in which tokens are sent at a rate, or 0 if none were sent.
func estimateWait(tokens int, perSecond float64) time.Duration {
	if perSecond < 1 {
		return 0
	}
	return time.Duration(min(float64(tokens)/perSecond, maxEstimate.Seconds()) * float64(time.Second))
}
