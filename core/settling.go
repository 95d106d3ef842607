package core

import "time"

// PeerDiscoveryRules bound when a starting box takes what it knows of the others for whole.
type PeerDiscoveryRules struct {
	Least  time.Duration // since the start, before which it never does
	Most   time.Duration // since the start, after which it does whatever it knows
	Window time.Duration // over which growth is looked at
	Growth float64       // the part of the boxes known that may be new in a window
}

// DefaultPeerDiscoveryRules fit boxes that greet four others a second: 295 that started at
// once knew nine in ten of each other after 3 s and the last one after 9 s.
func DefaultPeerDiscoveryRules() PeerDiscoveryRules {
	return PeerDiscoveryRules{
		Least:  time.Second,
		Most:   5 * time.Second,
		Window: 500 * time.Millisecond,
		Growth: 0.1,
	}
}

// PeerDiscovery tells when a starting box knows most of the others, so that it can work out
// its part of what is divided among all: while boxes that start together know few of
// each other, each takes itself for the owner of nearly everything. Once settled a
// box stays so.
type PeerDiscovery struct {
	rules   PeerDiscoveryRules
	start   time.Time
	counts  []settlingCount // in the window, oldest first
	settled bool
}

type settlingCount struct {
	at    time.Time
	known int
}

// NewPeerDiscovery begins at a box's start.
func NewPeerDiscovery(now time.Time, rules PeerDiscoveryRules) *PeerDiscovery {
	return &PeerDiscovery{
		rules: rules,
		start: now,
	}
}

// Observe takes how many other boxes are known, and tells whether that is most of them.
// Expected says that there are others: a box that knows none of them yet isn't alone.
func (s *PeerDiscovery) Observe(now time.Time, known int, expected bool) bool {
	if s.settled {
		return true
	}
	s.counts = append(s.counts, settlingCount{
		at:    now,
		known: known,
	})
	for len(s.counts) > 1 && now.Sub(s.counts[1].at) >= s.rules.Window {
		s.counts = s.counts[1:]
	}
	oldest := s.counts[0]
	watched := now.Sub(oldest.at) >= s.rules.Window
	grown := float64(known-oldest.known) > s.rules.Growth*float64(known)
	age := now.Sub(s.start)
	nobody := expected && known == 0
	s.settled = age >= s.rules.Most || (age >= s.rules.Least && watched && !grown && !nobody)
	return s.settled
}
