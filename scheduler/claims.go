package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/trace"
	"dillsaddle.example/dillsaddle/wire"
)

// stepHome applies an event to the claims' home and carries out what it asks.
func (s *Scheduler) stepHome(ctx context.Context, ev core.Event) []core.Command {
	commands := s.stepHomeQuiet(ev)
	for _, command := range commands {
		switch c := command.(type) {
		case core.HandoverWanted:
			go s.askHandover(ctx, c)
		case core.HandoverSent:
			if _, asked := ev.(core.HandoverAsked); !asked {
				go s.giveHandover(ctx, c.Handover)
			}
		}
	}
	return commands
}

func (s *Scheduler) stepHomeQuiet(ev core.Event) []core.Command {
	s.homeLock.Lock()
	defer s.homeLock.Unlock()
	now := time.Now()
	s.recorder.Event(now, trace.ClaimOwner, ev)
	return s.home.Step(now, ev)
}

func (s *Scheduler) claimAsk(ctx context.Context, _ *wire.Conn, q wire.ClaimRequest) (wire.ClaimAnswer, error) {
	for _, command := range s.stepHome(ctx, core.ClaimAsked{
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
	return wire.ClaimAnswer{}, errors.New("the claim got no verdict; ask again")
}

func (s *Scheduler) claimSettle(ctx context.Context, _ *wire.Conn, q wire.ClaimSettle) (wire.Done, error) {
	s.stepHome(ctx, core.ClaimSettled{
		Key:      q.Key,
		Attempt:  q.Attempt,
		Outcome:  q.Outcome,
		Status:   q.Status,
		Response: q.Response,
	})
	return wire.Done{}, nil
}

func (s *Scheduler) handoverAsk(ctx context.Context, _ *wire.Conn, q wire.HandoverRequest) (wire.HandoverTransfer, error) {
	for _, command := range s.stepHome(ctx, core.HandoverAsked{
		From:        q.From,
		ListVersion: q.ListVersion,
	}) {
		if c, ok := command.(core.HandoverSent); ok {
			return wire.HandoverTransfer{Handover: c.Handover}, nil
		}
	}
	return wire.HandoverTransfer{None: true}, nil
}

func (s *Scheduler) handoverGive(ctx context.Context, _ *wire.Conn, q wire.HandoverTransfer) (wire.Done, error) {
	s.takeHandover(ctx, q)
	return wire.Done{}, nil
}

func (s *Scheduler) takeHandover(ctx context.Context, q wire.HandoverTransfer) {
	if q.None {
		return
	}
	s.owners.told(q.Handover.From.Name, q.Handover.ListVersion, q.Handover.Final)
	s.stepHome(ctx, core.HandoverArrived{Handover: q.Handover})
}

func (s *Scheduler) askHandover(ctx context.Context, c core.HandoverWanted) {
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
		s.takeHandover(ctx, answer)
	}
}

func (s *Scheduler) giveHandover(ctx context.Context, h core.Handover) {
	m := s.state.View().List.Member(h.To)
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := wire.Request[wire.Done](ctx, s.pool, m.Scheduler, wire.HandoverTransfer{Handover: h}); err == nil {
		s.handedOver(h.To)
	}
}

func (s *Scheduler) handoverDue(ctx context.Context) {
	s.stepHome(ctx, core.HandoverDue{})
}
