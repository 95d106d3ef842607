package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/trace"
	"dillsaddle.example/dillsaddle/wire"
)

// stepClaims applies an event to the claim owner and executes the resulting
// handover commands. The reply to a handover request is left to its handler.
func (s *Scheduler) stepClaims(ctx context.Context, ev core.Event) []core.Command {
	commands := s.applyClaimEvent(ev)
	for _, command := range commands {
		switch c := command.(type) {
		case core.HandoverWanted:
			go s.requestHandover(ctx, c)
		case core.HandoverSent:
			if _, isRequest := ev.(core.HandoverAsked); !isRequest {
				go s.sendHandover(ctx, c.Handover)
			}
		}
	}
	return commands
}

// applyClaimEvent records an event, applies it to the claim owner and returns
// the resulting commands without executing them.
func (s *Scheduler) applyClaimEvent(ev core.Event) []core.Command {
	s.claimsLock.Lock()
	defer s.claimsLock.Unlock()
	now := time.Now()
	s.recorder.Event(now, trace.ClaimOwner, ev)
	return s.claims.Step(now, ev)
}

func (s *Scheduler) handleClaimRequest(ctx context.Context, _ *wire.Conn, q wire.ClaimRequest) (wire.ClaimAnswer, error) {
	for _, command := range s.stepClaims(ctx, core.ClaimAsked{
		Key:         q.Key,
		Attempt:     q.Attempt,
		Asker:       q.Asker,
		ListVersion: q.ListVersion,
		HomeKnown:   q.HomeKnown,
		Timed:       q.Timed,
		KeyAge:      time.Since(q.KeyTime),
	}) {
		if c, ok := command.(core.ClaimAnswered); ok {
			claimVerdicts(string(c.Verdict)).Inc()
			return wire.ClaimAnswer{
				Verdict:    c.Verdict,
				ValidFor:   c.ValidFor,
				Status:     c.Status,
				Response:   c.Response,
				ClaimOwner: c.ClaimOwner,
			}, nil
		}
	}
	return wire.ClaimAnswer{}, errors.New("claim request got no verdict; retry it")
}

func (s *Scheduler) handleClaimSettle(ctx context.Context, _ *wire.Conn, q wire.ClaimSettle) (wire.Done, error) {
	s.stepClaims(ctx, core.ClaimSettled{
		Key:      q.Key,
		Attempt:  q.Attempt,
		Outcome:  q.Outcome,
		Status:   q.Status,
		Response: q.Response,
	})
	return wire.Done{}, nil
}

func (s *Scheduler) handleHandoverRequest(ctx context.Context, _ *wire.Conn, q wire.HandoverRequest) (wire.HandoverTransfer, error) {
	for _, command := range s.stepClaims(ctx, core.HandoverAsked{
		From:        q.From,
		ListVersion: q.ListVersion,
	}) {
		if c, ok := command.(core.HandoverSent); ok {
			return wire.HandoverTransfer{Handover: c.Handover}, nil
		}
	}
	return wire.HandoverTransfer{None: true}, nil
}

func (s *Scheduler) handleHandover(ctx context.Context, _ *wire.Conn, q wire.HandoverTransfer) (wire.Done, error) {
	s.receiveHandover(ctx, q)
	return wire.Done{}, nil
}

func (s *Scheduler) receiveHandover(ctx context.Context, q wire.HandoverTransfer) {
	if q.None {
		return
	}
	s.owners.recordAdoption(q.Handover.From.Name, q.Handover.ListVersion, q.Handover.Final)
	s.stepClaims(ctx, core.HandoverArrived{Handover: q.Handover})
}

func (s *Scheduler) requestHandover(ctx context.Context, c core.HandoverWanted) {
	list := s.state.View().List
	m := list.Member(c.From)
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := wire.Request[wire.HandoverTransfer](ctx, s.pool, m.Scheduler, wire.HandoverRequest{
		From:        s.self,
		ListVersion: c.ListVersion,
	})
	if err == nil {
		s.receiveHandover(ctx, answer)
	}
}

func (s *Scheduler) sendHandover(ctx context.Context, h core.Handover) {
	m := s.state.View().List.Member(h.To)
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := wire.Request[wire.Done](ctx, s.pool, m.Scheduler, wire.HandoverTransfer{Handover: h}); err == nil {
		s.recordHandoverAck(h.To)
	}
}

func (s *Scheduler) retryHandovers(ctx context.Context) {
	s.stepClaims(ctx, core.HandoverDue{})
}
