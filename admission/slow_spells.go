package admission

import "time"

const (
	// initialSpell is the assumed usual length of a slow spell before one has been observed, and
	// initialSpells the number of spells for which it counts.
	initialSpell  = 300 * time.Millisecond
	initialSpells = 4.0
	// spellMemory is the remaining weight of the earlier spells in the usual length after each.
	spellMemory = 0.98
	// spellMargin is the multiple of the usual length for which a spell is expected to last, since
	// many last longer than usual, and the group is notified only once.
	spellMargin = 3
	// minSpell and maxSpell bound the usual length, and how long a message counts.
	minSpell = 50 * time.Millisecond
	maxSpell = 5 * time.Second
	// maxSpellGap is the longest time between two observations of an engine that counts in the
	// usual length: after a longer one, it is unknown when the spell ended.
	maxSpellGap = 400 * time.Millisecond
	// slowAnswerFactor and calmAnswerFactor are the multiples of an engine's usual slowdown from
	// which an answer shows a slow spell, and up to which it shows the end of one.
	slowAnswerFactor = 1.6
	calmAnswerFactor = 1.2
	// slowIntervalFactor and calmIntervalFactor are the same as multiples of an engine's time
	// between events. A prompt about doubles that time; with 1.8, prompts of which this box lost
	// the messages were taken for spells.
	slowIntervalFactor = 2.1
	calmIntervalFactor = 1.4
	// promptedFactor is slowIntervalFactor while a prompt is prefilled.
	promptedFactor = 2 * slowIntervalFactor
	// usualRise is the weight of an answer's slowdown above the usual one in it. It is small, since
	// slow spells must not raise the usual slowdown.
	usualRise = 0.01
)

// SlowSpells records which engines are in a slow spell: a short time in which other workloads on an
// engine's machine slow it down. It is not safe for concurrent use.
type SlowSpells struct {
	engines  map[string]*engineSpell // by endpoint ID
	slowTime time.Duration           // observed in slow spells, decayed
	ends     float64                 // observed ends of slow spells, decayed
}

// engineSpell is what is known of an engine's slow spells.
type engineSpell struct {
	usual  float64   // slowdown outside of spells, by its answers; 0 if unknown
	since  time.Time // when this box first knew of the latest spell
	until  time.Time // its expected end; not after since if it has ended
	slowAt time.Time // this box's latest observation of it; zero if it knows of it from others
	lastAt time.Time // the latest observation or message
}

// NewSlowSpells returns an empty record.
func NewSlowSpells() *SlowSpells { return &SlowSpells{engines: make(map[string]*engineSpell)} }

// ObserveAnswer records the slowdown that an engine reported with an answer, and reports whether
// that shows a spell that wasn't known.
func (s *SlowSpells) ObserveAnswer(now time.Time, endpoint string, slowdown float64) bool {
	e := s.engine(endpoint)
	if e.usual == 0 {
		e.usual = min(slowdown, 1)
	}
	ratio := slowdown / e.usual
	if slowdown < e.usual {
		e.usual = slowdown
	}
	e.usual += usualRise * (slowdown - e.usual)
	switch {
	case ratio >= slowAnswerFactor:
		return s.observeSlow(now, e, 0)
	case ratio <= calmAnswerFactor:
		s.observeCalm(now, e, 0)
	}
	return false
}

// ObserveInterval records the time between two events of a stream at an engine with the given
// pace, and reports whether that shows a spell that wasn't known. Prompted is set if prompts were
// prefilled there meanwhile.
func (s *SlowSpells) ObserveInterval(now time.Time, endpoint string, interval, pace time.Duration, prompted bool) bool {
	ratio := float64(interval) / float64(pace)
	if ratio <= calmIntervalFactor {
		if e := s.engines[endpoint]; e != nil {
			s.observeCalm(now, e, interval)
		}
		return false
	}
	if ratio >= promptedFactor || (ratio >= slowIntervalFactor && !prompted) {
		return s.observeSlow(now, s.engine(endpoint), interval)
	}
	return false
}

// Record records another box's message that an engine is in a slow spell for about the given time.
func (s *SlowSpells) Record(now time.Time, endpoint string, rest time.Duration) {
	if rest <= 0 {
		return
	}
	e := s.engine(endpoint)
	if !e.until.After(now) {
		e.since, e.slowAt = now, time.Time{}
	}
	e.lastAt = now
	if until := now.Add(min(rest, maxSpell)); until.After(e.until) {
		e.until = until
	}
}

// Rest returns the expected rest of an engine's slow spell, or 0 if it is in none.
func (s *SlowSpells) Rest(now time.Time, endpoint string) time.Duration {
	e := s.engines[endpoint]
	if e == nil {
		return 0
	}
	return max(e.until.Sub(now), 0)
}

// UsualLength returns the usual length of a slow spell.
func (s *SlowSpells) UsualLength() time.Duration {
	usual := (initialSpells*float64(initialSpell) + float64(s.slowTime)) / (initialSpells + s.ends)
	return max(minSpell, min(maxSpell, time.Duration(usual)))
}

// Forget drops an engine that no longer exists.
func (s *SlowSpells) Forget(endpoint string) { delete(s.engines, endpoint) }

// dropUnused drops engines that aren't listed and were not observed for unusedTime.
func (s *SlowSpells) dropUnused(now time.Time, isKnown func(id string) bool) {
	for id, e := range s.engines {
		if now.Sub(e.lastAt) >= unusedTime && !isKnown(id) {
			delete(s.engines, id)
		}
	}
}

func (s *SlowSpells) engine(endpoint string) *engineSpell {
	e := s.engines[endpoint]
	if e == nil {
		e = &engineSpell{}
		s.engines[endpoint] = e
	}
	return e
}

// observeSlow records an observation of a spell, over an interval or at a moment, and reports
// whether the spell wasn't known.
func (s *SlowSpells) observeSlow(now time.Time, e *engineSpell, interval time.Duration) bool {
	isNew := !e.until.After(now)
	if isNew {
		e.since, e.slowAt = now, time.Time{}
	}
	s.learn(now, e)
	e.slowAt, e.lastAt = now, now
	e.until = now.Add(max(spellMargin*s.UsualLength(), 2*interval))
	return isNew
}

// observeCalm records an observation that an engine isn't in a spell. One whose interval began
// before the spell says nothing about it.
func (s *SlowSpells) observeCalm(now time.Time, e *engineSpell, interval time.Duration) {
	e.lastAt = now
	if !e.until.After(e.since) || now.Add(-interval).Before(e.since) {
		return
	}
	if s.learn(now, e) {
		s.slowTime = time.Duration(float64(s.slowTime) * spellMemory)
		s.ends = s.ends*spellMemory + 1
	}
	e.until = e.since
}

// learn adds the time since this box's latest observation of a spell to the time of all, and
// reports whether the spell is known to have lasted until now. One of more than maxSpell is
// ignored: its engine stays slow, which its pace will show.
func (s *SlowSpells) learn(now time.Time, e *engineSpell) bool {
	if e.slowAt.IsZero() || now.Sub(e.slowAt) > maxSpellGap || now.Sub(e.since) > maxSpell {
		return false
	}
	s.slowTime += now.Sub(e.slowAt)
	return true
}
