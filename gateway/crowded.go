package gateway

import (
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// waitPart is the part of a stream's target that it may wait at the box for an engine
	// with room; what is left is for its prompt to be read.
	waitPart = 0.6
	// lookAgain is how often a waiting prompt looks for room: as often as the boxes tell
	// each other what began and ended.
	lookAgain = 15 * time.Millisecond
	// leastRoomIn bounds from below when a caller that met only full engines may return.
	leastRoomIn = 500 * time.Millisecond
)

// choose chooses an endpoint. A prompt for which no engine has room waits here, where it
// can go to the first one that gets some; at a full engine it would wait for that one's
// runs alone. An event says that there is no endpoint to send to.
func (p *passage) choose(now time.Time) (routing.Endpoint, core.Event) {
	if !p.mayWait(now) {
		return p.choosing(p.pick(now))
	}
	e, ok := p.turn(now)
	if ok {
		return e, nil
	}
	if p.tooLate(now) {
		return e, core.CallCrowded{}
	}
	p.tellWaits(false)
	defer p.tellWaits(true)
	for time.Since(p.start) < p.waitMost() {
		t := time.NewTimer(lookAgain)
		select {
		case <-t.C:
		case <-p.request.Context().Done():
			t.Stop()
		}
		if ev := p.over(); ev != nil {
			return e, ev
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

// mayWait tells whether the box keeps the prompt if no engine has room.
func (p *passage) mayWait(now time.Time) bool {
	return p.service.Engine != nil && !p.begun && p.in.PromptTokens > 0 && p.call.Sends() == 0 &&
		p.route.Target > 0 && !p.gateway.spread.Blind(now, p.want(nil))
}

func (p *passage) waitMost() time.Duration {
	return time.Duration(waitPart * float64(p.route.Target))
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

// tooLate tells whether the prompt's turn can't come in time, of a caller that wasn't
// refused before.
func (p *passage) tooLate(now time.Time) bool {
	if p.returned() {
		return false
	}
	p.wait = p.gateway.spread.TurnIn(now, p.want(nil), p.waiter())
	return p.wait > p.route.Target
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
