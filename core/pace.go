package core

import "time"

// PaceRules say how a rate that is divided among boxes is kept.
type PaceRules struct {
	Window time.Duration // about how long one unit, a send, lasts
	Most   int           // units at most, so that to divide them stays cheap
	Hold   time.Duration // how long a send that was planned keeps its unit
}

// DefaultPaceRules keep rates that endpoints judge over four seconds: a unit lasts longer
// than that, so that none counts twice. A planned send keeps its unit as long as the
// longest plan lasts, as in DefaultRationRules.
func DefaultPaceRules() PaceRules {
	return PaceRules{
		Window: 5 * time.Second,
		Most:   256,
		Hold:   4500 * time.Millisecond,
	}
}

// Units divides a rate: into how many sends, and after how long each may be repeated.
func (r PaceRules) Units(perSecond float64) (units int, each time.Duration) {
	if perSecond <= 0 {
		return 0, r.Window
	}
	units = int(min(perSecond*r.Window.Seconds(), float64(r.Most)))
	units = max(units, 1)
	seconds := min(float64(units)/perSecond, mostPause.Seconds())
	return units, time.Duration(seconds * float64(time.Second))
}

// mostPause bounds the time between two sends to an endpoint that takes next to nothing.
const mostPause = 10 * time.Minute

// Pace keeps one box's sends to an endpoint that takes a rate only: each of the box's
// units is used once in a while, and the units take turns, so that neither the begin of a
// limit nor the end of a lull sends all at once.
type Pace struct {
	rules PaceRules
	draw  func() float64
	each  time.Duration
	used  []time.Time // when each unit was used last
	held  []time.Time // when planned sends took theirs, oldest first
}

// NewPace builds one without units. Draw gives numbers from 0 to 1 that set the turns of
// boxes apart.
func NewPace(rules PaceRules, draw func() float64) *Pace {
	return &Pace{
		rules: rules,
		draw:  draw,
	}
}

// Set takes how many units are this box's, and after how long each may be used again.
func (p *Pace) Set(now time.Time, share int, each time.Duration) {
	p.each = each
	for len(p.used) > share {
		p.dropIdlest()
	}
	// Another box may have used a unit a moment ago.
	added := share - len(p.used)
	for i := range added {
		rest := (float64(i) + p.draw()) / float64(added)
		p.used = append(p.used, now.Add(-time.Duration(rest*float64(each))))
	}
}

// dropIdlest gives up the unit that was used longest ago: what was sent lately counts on.
func (p *Pace) dropIdlest() {
	idlest := 0
	for i, at := range p.used {
		if at.Before(p.used[idlest]) {
			idlest = i
		}
	}
	p.used = append(p.used[:idlest], p.used[idlest+1:]...)
}

// Free tells whether one more send may be planned.
func (p *Pace) Free(now time.Time) bool {
	p.held = since(p.held, now.Add(-p.rules.Hold))
	return p.ready(now) > len(p.held)
}

func (p *Pace) ready(now time.Time) int {
	n := 0
	for _, at := range p.used {
		if now.Sub(at) >= p.each {
			n++
		}
	}
	return n
}

// Hold keeps a unit for a send that is planned, if one is free.
func (p *Pace) Hold(now time.Time) bool {
	if !p.Free(now) {
		return false
	}
	p.held = append(p.held, now)
	return true
}

// Drop gives a unit back that was kept.
func (p *Pace) Drop() {
	if len(p.held) > 0 {
		p.held = p.held[1:]
	}
}

// Send uses a unit, which was kept for the send or is free; false says that there is none.
func (p *Pace) Send(now time.Time, held bool) bool {
	if held {
		p.Drop()
	}
	if !p.Free(now) {
		return false
	}
	for i, at := range p.used {
		if now.Sub(at) >= p.each {
			p.used[i] = now
			break
		}
	}
	return true
}

// Next gives when one more send may be planned, or tells that the box has no unit.
func (p *Pace) Next(now time.Time) (time.Duration, bool) {
	if len(p.used) == 0 {
		return 0, false
	}
	if p.Free(now) {
		return 0, true
	}
	next := mostPause
	for _, at := range p.used {
		if left := p.each - now.Sub(at); left > 0 {
			next = min(next, left)
		}
	}
	return min(next, p.each), true
}

// Idle tells whether nothing is counted any more.
func (p *Pace) Idle(now time.Time) bool {
	return p.Free(now) && len(p.held) == 0 && p.ready(now) == len(p.used)
}
