package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// waitPart is the part of its time that a prompt may wait at the box for an engine with
	// room.
	waitPart = 0.25
	// leastFit and mostFit bound how many times its target a prompt's first event may be
	// expected to take.
	leastFit = 0.7
	mostFit  = 1.2
	// shortestRun is what the reading of a prompt counts for, in tokens that are made
	// meanwhile.
	shortestRun = 40
	// lookAgain is how often a waiting prompt looks for room: as often as the boxes tell
	// each other what began and ended.
	lookAgain = 15 * time.Millisecond
	// leastRoomIn bounds from below when a caller that met only full engines may return.
	leastRoomIn = 500 * time.Millisecond
)

// choose chooses an endpoint, or says why there is none to send to. A caller that has
// waited before is late whatever is done: its prompt is kept here until an engine has
// room, where it takes none from those that can still be in time.
func (p *passage) choose(now time.Time) (routing.Endpoint, core.Event) {
	if !p.crowds() {
		return p.choosing(p.pick(now))
	}
	if p.returned() {
		return p.await(now)
	}
	e, ok := p.pick(now)
	if ok && p.tooLate(now, e) {
		p.gateway.cold.drop(e)
		return e, core.CallCrowded{}
	}
	return p.choosing(e, ok)
}

// await keeps the prompt until an engine has room and its turn has come; in the end it
// goes to the best there is.
func (p *passage) await(now time.Time) (routing.Endpoint, core.Event) {
	if e, ok := p.turn(now); ok {
		return e, nil
	}
	p.tellWaits(false)
	defer p.tellWaits(true)
	for time.Since(p.start) < time.Duration(waitPart*float64(p.timeout())) {
		t := time.NewTimer(lookAgain)
		select {
		case <-t.C:
		case <-p.request.Context().Done():
			t.Stop()
		}
		if ev := p.over(); ev != nil {
			return routing.Endpoint{}, ev
		}
		if e, ok := p.turn(time.Now()); ok {
			return e, nil
		}
	}
	return p.choosing(p.pick(time.Now()))
}

func (p *passage) choosing(e routing.Endpoint, ok bool) (routing.Endpoint, core.Event) {
	if !ok {
		return e, core.CallUnplaced{}
	}
	return e, nil
}

// crowds tells whether the prompt can be refused or kept because engines are crowded.
func (p *passage) crowds() bool {
	return p.service.Engine != nil && !p.begun && p.in.PromptTokens > 0 && p.call.Sends() == 0 &&
		p.route.Target > 0 && !p.gateway.spread.Blind(time.Now(), p.want(nil))
}

// waiter describes the prompt among those that wait.
func (p *passage) waiter() admission.Waiter {
	return admission.Waiter{
		ID:    p.in.ID,
		Rank:  p.rank(),
		Since: p.start,
	}
}

// turn takes an engine with room if it is the prompt's turn, and a place there if the
// engine is cold.
func (p *passage) turn(now time.Time) (routing.Endpoint, bool) {
	p.view = p.gateway.view()
	e, ok := p.gateway.spread.Turn(now, p.candidates(now), p.want(p.tried), p.waiter())
	return e, ok && p.gateway.cold.hold(now, p.service, e)
}

// tellWaits tells the group that the prompt waits, or waits no more.
func (p *passage) tellWaits(over bool) {
	if over {
		p.gateway.spread.WaitOver(p.in.ID)
	} else {
		p.gateway.spread.Wait(p.waiter())
	}
	p.decided("waits", zap.Bool("over", over), zap.Duration("waited", time.Since(p.start)))
	p.gateway.onPlaced(fleet.Placement{
		Waits: p.in.ID,
		Rank:  p.rank(),
		Over:  over,
	})
}

// tooLate tells whether the first event can't come in time from the engine that was chosen,
// the best there is. What takes much memory for long goes behind what takes little of it:
// of the callers that crowded engines can't serve in time, the fewest are refused.
func (p *passage) tooLate(now time.Time, e routing.Endpoint) bool {
	p.wait = p.gateway.spread.Estimate(now, e, p.want(nil)).First
	return now.Sub(p.start)+p.wait > time.Duration(p.fit()*float64(p.route.Target))
}

// fit gives how many times its route's target a prompt's first event may be expected to
// take, by the memory that it takes and for how long, against others of its route.
func (p *passage) fit() float64 {
	output := float64(p.output() + shortestRun)
	cost := (float64(p.in.PromptTokens) + output/2) * output
	usual := p.gateway.costs.learn(p.route.Name, cost)
	return min(max(math.Sqrt(usual/cost), leastFit), mostFit)
}

// returned tells whether the caller has waited before: it has less patience than most.
func (p *passage) returned() bool {
	usual := p.gateway.patience.of(p.route.Name)
	return usual-p.in.Patience > p.route.Target/4
}

// roomIn gives when a caller that met only full engines may return.
func (p *passage) roomIn() time.Duration {
	return spread(max(p.wait, leastRoomIn))
}
