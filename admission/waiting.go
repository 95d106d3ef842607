package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// roomMost is how full an engine's memory may get by a prompt that doesn't wait: what
	// is beyond the whole is preempted and read anew.
	roomMost = 1.0
	// waiterLife bounds how long another box's prompt counts as waiting without further
	// word: longer than any waits, so that a lost message costs little.
	waiterLife = 2500 * time.Millisecond
)

// Waiter is a prompt that waits at a box, here or elsewhere in the group, until an engine
// has room for it.
type Waiter struct {
	ID    string
	Rank  int // 0 is the most urgent
	Since time.Time
}

// before orders waiters the same way at every box: by rank, then by how long they wait.
func (w Waiter) before(other Waiter) bool {
	return cmp.Or(
		cmp.Compare(w.Rank, other.Rank),
		w.Since.Compare(other.Since),
		cmp.Compare(w.ID, other.ID),
	) < 0
}

// Wait notes that a prompt waits.
func (s *Spread) Wait(w Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[w.ID] = w
}

// WaitOver notes that a prompt waits no more.
func (s *Spread) WaitOver(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// ahead counts the prompts of the group that go first.
func (s *Spread) ahead(now time.Time, w Waiter) int {
	n := 0
	for id, other := range s.waiters {
		if now.Sub(other.Since) > waiterLife {
			delete(s.waiters, id)
			continue
		}
		if id != w.ID && other.before(w) {
			n++
		}
	}
	return n
}

// Turn chooses an engine with room for a prompt whose turn it is: of those with room, the
// group's first waiter takes the best, the second the next, so that boxes which all hear
// of the same end of a run don't all send there. False says that it has to wait.
func (s *Spread) Turn(now time.Time, endpoints []routing.Endpoint, w Want, waiter Waiter) (routing.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type scored struct {
		index int
		score float64
	}
	var roomy []scored
	for i, e := range endpoints {
		if w.Exclude[e.ID] || s.fullness(now, s.load(e.ID), w) > roomMost {
			continue
		}
		roomy = append(roomy, scored{
			index: i,
			score: s.score(now, e, w),
		})
	}
	turn := s.ahead(now, waiter)
	if turn >= len(roomy) {
		return routing.Endpoint{}, false
	}
	slices.SortFunc(roomy, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	return endpoints[roomy[turn].index], true
}

// TurnIn estimates when a prompt's turn comes: when runs have ended that held as much as
// those that go first and itself need, at the rate at which the group's runs end.
func (s *Spread) TurnIn(now time.Time, w Want, waiter Waiter) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := float64(s.ahead(now, waiter)+1) * float64(w.Tokens)
	rate := math.Max(s.over.perSecond(now), leastFreed*float64(max(len(s.share), 1)))
	return time.Duration(tokens / rate * float64(time.Second))
}

// Blind tells whether no other box's news came lately: who knows only what it sent itself
// can't tell which engine has room.
func (s *Spread) Blind(now time.Time, w Want) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blind(now, w)
}

func (s *Spread) blind(now time.Time, w Want) bool {
	return w.Shared && now.Sub(s.heard) > blindTime
}
