package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

const (
	// strangerCount is how many boxes of other groups a box keeps connections
	// to; by them news reach n boxes in about log n rounds.
	strangerCount = 2
	// strangerTurn is how many greetings there are to one that goes to them: word
	// that the list still holds must cross from group to group well within the
	// time in which a change must be in force.
	strangerTurn = 3
	// rotateEvery is how often one of them is replaced.
	rotateEvery = 4 * time.Second
)

// nextPartner gives whom to greet next, in turn.
func (p *Peers) nextPartner(now time.Time) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.DropSilent(now)
	p.notice(now)
	p.rotate(now)
	n := p.turn
	p.turn++
	near, far := p.paths.near, append(slices.Clone(p.strangers), p.paths.far()...)
	toFar := n / strangerTurn
	if len(far) > 0 && (n%strangerTurn == 0 || len(near) == 0) {
		return far[toFar%len(far)], true
	}
	if len(near) == 0 {
		return netip.AddrPort{}, false
	}
	return near[(n-toFar)%len(near)], true
}

// rotate keeps the partners up to date: the other boxes of the group, and a few
// strangers in turn, by whom news reach the other groups. A seed is among the
// strangers now and then, so that parts of a fleet that lost each other meet.
func (p *Peers) rotate(now time.Time) {
	alive := p.roster.Alive(now)
	p.group = core.GroupOf(p.roster.Self(), alive, p.belief.View().EngineCount())
	var fellows, choices []netip.AddrPort
	var members []core.Peer
	for _, m := range alive {
		if slices.Contains(p.group.Members, m.Box) {
			fellows = append(fellows, m.Address)
			members = append(members, m)
			continue
		}
		choices = append(choices, m.Address)
	}
	for _, a := range p.fellows {
		if !slices.Contains(fellows, a) {
			p.release(a)
		}
	}
	p.fellows = fellows
	p.paths = pathsTo(p.roster.Self(), members)
	p.strangers = slices.DeleteFunc(p.strangers, func(a netip.AddrPort) bool { return slices.Contains(fellows, a) })
	full := len(p.strangers) >= strangerCount
	if full && now.Sub(p.rotated) < rotateEvery {
		return
	}
	choices = append(choices, p.seeds...)
	choices = slices.DeleteFunc(choices, func(a netip.AddrPort) bool {
		return slices.Contains(p.strangers, a) || slices.Contains(fellows, a)
	})
	if len(choices) == 0 {
		return
	}
	p.rotated = now
	if full {
		p.release(p.strangers[0])
		p.strangers = p.strangers[1:]
	}
	p.strangers = append(p.strangers, choices[rand.N(len(choices))])
}

// release closes the connection to a box that is no partner any more. It may
// wait for a dial that hangs, and must not hold the others up meanwhile.
func (p *Peers) release(address netip.AddrPort) {
	go p.pool.Drop(address)
}

// partners are the boxes to which this one hands news on.
func (p *Peers) partners() []netip.AddrPort {
	return append(p.paths.handOn(), p.strangers...)
}

// Group gives the part of the fleet that this box belongs to.
func (p *Peers) Group() core.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group
}

// abandon replaces a partner that doesn't answer, and suspects its box.
func (p *Peers) abandon(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.RecordNoAnswer(time.Now(), address)
	p.strangers = slices.DeleteFunc(p.strangers, func(a netip.AddrPort) bool { return a == address })
}
