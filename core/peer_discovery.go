package core

import "time"

// PeerDiscoveryRules define when a starting box considers its list of peers complete.
type PeerDiscoveryRules struct {
	MinWait   time.Duration // minimum time since the start
	MaxWait   time.Duration // time since the start after which the list counts as complete
	Window    time.Duration // time over which the growth is computed
	MaxGrowth float64       // maximum fraction of known peers that were added in a window
}

// DefaultPeerDiscoveryRules returns the rules for boxes that exchange gossip with
// four others per second.
func DefaultPeerDiscoveryRules() PeerDiscoveryRules {
	return PeerDiscoveryRules{
		MinWait:   time.Second,
		MaxWait:   5 * time.Second,
		Window:    500 * time.Millisecond,
		MaxGrowth: 0.1,
	}
}

// PeerDiscovery decides when a starting box knows most of the other boxes, and so can
// compute its share of what is divided among all. While boxes that start together
// know only a few others, each of them would compute a share that is far too large.
// Once complete, discovery stays complete.
type PeerDiscovery struct {
	rules    PeerDiscoveryRules
	start    time.Time
	samples  []peerCount // in the window, oldest first
	complete bool
}

type peerCount struct {
	at    time.Time
	known int
}

// NewPeerDiscovery returns the discovery of a box that starts now.
func NewPeerDiscovery(now time.Time, rules PeerDiscoveryRules) *PeerDiscovery {
	return &PeerDiscovery{
		rules: rules,
		start: now,
	}
}

// Observe records the number of known other boxes and reports whether discovery is
// complete. If other boxes are expected, a box that knows none yet doesn't consider itself
// the only one before MaxWait.
func (d *PeerDiscovery) Observe(now time.Time, known int, expected bool) bool {
	if d.complete {
		return true
	}
	d.samples = append(d.samples, peerCount{
		at:    now,
		known: known,
	})
	for len(d.samples) > 1 && now.Sub(d.samples[1].at) >= d.rules.Window {
		d.samples = d.samples[1:]
	}
	oldest := d.samples[0]
	windowFull := now.Sub(oldest.at) >= d.rules.Window
	growing := float64(known-oldest.known) > d.rules.MaxGrowth*float64(known)
	age := now.Sub(d.start)
	noneYet := expected && known == 0
	d.complete = age >= d.rules.MaxWait || (age >= d.rules.MinWait && windowFull && !growing && !noneYet)
	return d.complete
}
