package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// firstCutSeed is the first seed in whose run boxes lose their paths to all servers, and plain
	// servers are brittle. The faults that other seeds have beside the usual ones are left out, so
	// that some boxes stay undisturbed.
	firstCutSeed = 6000
	// cutApplyTime is how long after the cut the callers of such a box must be served like others.
	cutApplyTime = 3 * time.Second
	// Callers of cut-off boxes may be served minServedShare times as often as others, unless at
	// most allowedFailures and a fraction of allowedFailureShare of all requests fail there.
	minServedShare      = 2.0 / 3
	allowedFailures     = 10
	allowedFailureShare = 0.02
)

func hasCuts(seed uint64) bool { return seed >= firstCutSeed && seed < firstBadPartSeed }

// hasOwnFaults reports whether a seed leaves out the faults that lower ones have beside the usual
// ones.
func hasOwnFaults(seed uint64) bool { return seed >= firstCutSeed }

// pathCuts cuts some boxes off from all servers, but not from callers, the store or other boxes, for
// the time in which the other faults are injected. It draws from its own random source, so that
// these stay the same.
type pathCuts struct {
	injector *injector
	r        *rand.Rand
	enabled  bool
	boxes    map[int]bool
	beganAt  time.Time
	endedAt  time.Time
}

func newPathCuts(i *injector, seed uint64) *pathCuts {
	return &pathCuts{
		injector: i,
		r:        rand.New(rand.NewPCG(seed, 66)),
		enabled:  i.fleet.hasCuts && !i.plannedOnly,
		boxes:    make(map[int]bool),
	}
}

// begin cuts off at least one box, and spares at least one.
func (c *pathCuts) begin() {
	if !c.enabled {
		return
	}
	all := c.injector.fleet.boxes
	for _, n := range c.r.Perm(len(all))[:1+c.r.IntN(len(all)-1)] {
		fault := []LinkFault{Reset, Silent, OneWay}[c.r.IntN(3)]
		c.injector.recordFault("%s cut off from all servers: %s", all[n].settings.Name, fault)
		c.boxes[n] = true
		c.set(all[n], fault)
	}
	c.beganAt = time.Now()
}

// end ends the cuts. What they held up is lost, as the boxes have closed those connections.
func (c *pathCuts) end() {
	for n := range c.boxes {
		c.set(c.injector.fleet.boxes[n], Reset)
		c.set(c.injector.fleet.boxes[n], NoFault)
	}
	c.endedAt = time.Now()
}

func (c *pathCuts) set(b *boxProcess, fault LinkFault) {
	f := c.injector.fleet
	f.cutSources[b.source] = fault
	for _, s := range f.servers {
		s.proxy.SetFor(b.source, fault)
	}
}

// checkCuts checks that the callers of boxes that were cut off are served about as often as those of
// the others. Boxes to which something else happened don't count.
func (r *Report) checkCuts(c *pathCuts, results []callResult) {
	var served, sent [2]int // of the other boxes, and of those that were cut off
	for _, s := range results {
		if !c.enabled || !c.injector.fleet.isUndisturbed(s.box) || s.startedAt.Before(c.beganAt.Add(cutApplyTime)) || s.startedAt.After(c.endedAt) {
			continue
		}
		// A request whose key was revoked must not be served.
		if revokedAt := c.injector.keyRevokedAt; s.Status == http.StatusUnauthorized && s.key == emulator.OtherKey && !revokedAt.IsZero() && s.startedAt.After(revokedAt) {
			continue
		}
		at := 0
		if c.boxes[s.box] {
			at = 1
		}
		sent[at]++
		if s.Status == http.StatusOK && s.IsComplete {
			served[at]++
		}
	}
	if sent[0] == 0 || sent[1] == 0 {
		return
	}
	failed := float64(sent[1] - served[1])
	few := failed <= allowedFailures+allowedFailureShare*float64(sent[0]+sent[1])
	if !few && float64(served[1])/float64(sent[1]) < minServedShare*float64(served[0])/float64(sent[0]) {
		r.addViolation("RECOVER: boxes cut off from all servers served %d of %d requests, the others %d of %d", served[1], sent[1], served[0], sent[0])
	}
}

const (
	// brittleCapacity is the number of requests that a brittle server takes at once, as its entry
	// says, and brittleRejections the number of rejections per second that it bears.
	brittleCapacity   = 8
	brittleRejections = 4
	// Brittle servers may fall over maxFalls times and once more for each fallServers of them.
	maxFalls    = 2
	fallServers = 10
)

// makeBrittle limits a new plain server's places and makes it brittle.
func (f *fleet) makeBrittle(l *listedServer) {
	if !f.hasCuts || l.service != emulator.PlainService {
		return
	}
	l.Capacity = brittleCapacity
	l.announce(func(n *emulator.StatusHeaders) {
		n.IsBrittle = true
		n.MaxRejections = brittleRejections
	})
}

// checkFalls checks that boxes rarely push brittle servers over. A disturbed box counts as one that
// may not know its share.
func (r *Report) checkFalls(f *fleet) {
	falls, servers := 0, 0
	for _, s := range f.servers {
		if s.Capacity > 0 {
			falls += s.Falls()
			servers++
		}
	}
	for n := range f.boxes {
		if !f.isUndisturbed(n) {
			return
		}
	}
	if falls > maxFalls+servers/fallServers {
		r.addViolation("LIMIT: %d brittle servers fell over %d times", servers, falls)
	}
}
