package scheduler

import (
	"context"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// handoverTimeout bounds how long a stopping scheduler waits for successors to
// acknowledge their handovers.
const handoverTimeout = 5 * time.Second

func (s *Scheduler) accepting() bool {
	s.drainLock.Lock()
	defer s.drainLock.Unlock()
	return s.drain.Accepting()
}

// Stop starts a planned stop. The scheduler grants no more leases and hands its
// claims over to their successors; Done is closed when the last lease has expired
// and no granted claim is open. Further calls have no effect.
func (s *Scheduler) Stop() {
	s.drainLock.Lock()
	commands := s.drain.Step(time.Now(), core.WorkChanged{Pending: 1})
	commands = append(commands, s.drain.Step(time.Now(), core.StopRequested{})...)
	s.drainLock.Unlock()
	if len(commands) == 0 {
		return
	}
	s.log.Info("planned stop started; granting no more leases")
	s.refresh(context.Background())
	s.stepClaims(context.Background(), core.Retire{})
	go s.waitAndExit()
}

// Done returns a channel that is closed when the process may exit.
func (s *Scheduler) Done() <-chan struct{} { return s.done }

// waitAndExit waits until the scheduler is drained, sends the final handovers and
// closes the server.
func (s *Scheduler) waitAndExit() {
	start := time.Now()
	for {
		time.Sleep(100 * time.Millisecond)
		if s.isDrained(start) {
			break
		}
	}
	s.sendFinalHandovers()
	s.drainLock.Lock()
	s.drain.Step(time.Now(), core.WorkChanged{})
	s.drainLock.Unlock()
	s.stop()
	s.server.Close()
	close(s.done)
}

// sendFinalHandovers sends the outcomes of the last open claims to the successors.
func (s *Scheduler) sendFinalHandovers() {
	var wait sync.WaitGroup
	for _, command := range s.applyClaimEvent(core.Retire{}) {
		if c, ok := command.(core.HandoverSent); ok {
			wait.Go(func() { s.sendHandover(context.Background(), c.Handover) })
		}
	}
	wait.Wait()
}

// isDrained reports whether all leases have expired, no claim is open and every
// box has acknowledged its handover, or one of the timeouts has passed.
func (s *Scheduler) isDrained(start time.Time) bool {
	elapsed := time.Since(start)
	if elapsed > s.settings.DrainTimeout {
		return true
	}
	if elapsed < core.DefaultLeaseRules().TTL {
		return false
	}
	s.claimsLock.Lock()
	open := s.claims.Open()
	s.claimsLock.Unlock()
	return open == 0 && (s.allHandoversAcked() || elapsed > handoverTimeout)
}

func (s *Scheduler) recordHandoverAck(to string) { s.handoverAcks.Store(to, true) }

func (s *Scheduler) allHandoversAcked() bool {
	list := s.state.View().List
	if list == nil {
		return true
	}
	for i := range list.Boxes {
		name := list.Boxes[i].Name
		if name == s.self.Name {
			continue
		}
		if _, acked := s.handoverAcks.Load(name); !acked {
			return false
		}
	}
	return true
}
