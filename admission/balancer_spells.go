package admission

import "time"

// spellHarmFactor is the multiple of an engine's average break probability for a prompt that is
// sent there during a slow spell: about an eighth of all prompts is, and they cause most breaks. An
// engine whose streams meet their pause target in spells as well is not avoided. A cost that is the
// same for all engines moved long streams off such ones: in the model of the package's tests at 100
// requests per second it raised the missed pauses by half.
const spellHarmFactor = 8.0

// SlowSpell is a slow spell of an engine that this box is the first to see.
type SlowSpell struct {
	Rest time.Duration // expected
	Pace time.Duration // the engine's usual time between events; 0 if unknown
}

// ObserveSlowdown records the slowdown that an engine reported with an answer. It returns the
// engine's slow spell if that shows one that wasn't known.
func (b *Balancer) ObserveSlowdown(now time.Time, endpoint string, slowdown float64) (SlowSpell, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.spells.ObserveAnswer(now, endpoint, slowdown) {
		return SlowSpell{}, false
	}
	return SlowSpell{Rest: b.spells.Rest(now, endpoint)}, true
}

// ObserveInterval records the time between two events of a stream at an engine of a service. It
// returns the engine's slow spell if that shows one that wasn't known.
func (b *Balancer) ObserveInterval(now time.Time, service, endpoint string, interval time.Duration) (SlowSpell, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.paces[service]
	if t == nil {
		return SlowSpell{}, false
	}
	pace, known := t.Pace(endpoint)
	if !known || !b.spells.ObserveInterval(now, endpoint, interval, pace, b.wasPrompted(endpoint, now.Add(-interval))) {
		return SlowSpell{}, false
	}
	return SlowSpell{
		Rest: b.spells.Rest(now, endpoint),
		Pace: pace,
	}, true
}

// promptHarm returns the probability that a prompt sent now causes a pause beyond the target in a
// stream at an engine with the given average probability.
func (b *Balancer) promptHarm(now time.Time, endpoint string, breakProbability float64) float64 {
	if b.spells.Rest(now, endpoint) > 0 {
		return min(1, spellHarmFactor*breakProbability)
	}
	return breakProbability
}

// wasPrompted reports whether prompts were probably prefilled at an engine after a time. An engine
// that is slow takes longer than usual for them.
func (b *Balancer) wasPrompted(endpoint string, after time.Time) bool {
	l := b.loads[endpoint]
	if l == nil {
		return false
	}
	prefill := 2 * l.queuedTokens / b.prefillRate
	return l.queuedAt.Add(time.Duration(prefill * float64(time.Second))).After(after)
}

// RecordSlowSpell records another box's message that an engine is in a slow spell for about the
// given time.
func (b *Balancer) RecordSlowSpell(now time.Time, endpoint string, rest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spells.Record(now, endpoint, rest)
}
