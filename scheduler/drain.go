package scheduler

import (
	"context"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// handoverTimeout bounds how long a stopping scheduler tries to hand over to
// boxes that don't answer.
const handoverTimeout = 5 * time.Second

func (s *Scheduler) accepting() bool {
	s.drainLock.Lock()
	defer s.drainLock.Unlock()
	return s.drain.Accepting()
}

// Stop starts a planned stop: no lease is granted any more, the claims go to
// their next homes, and the process may leave when the last lease has ended
// and no granted claim is open. A second call changes nothing.
func (s *Scheduler) Stop() {
	s.drainLock.Lock()
	commands := s.drain.Step(time.Now(), core.WorkChanged{Pending: 1})
	commands = append(commands, s.drain.Step(time.Now(), core.StopRequested{})...)
	s.drainLock.Unlock()
	if len(commands) == 0 {
		return
	}
	s.log.Info("planned stop")
	s.refresh(context.Background())
	s.stepClaims(context.Background(), core.Retire{})
	go s.waitAndExit()
}

// Done is closed when the process may end.
func (s *Scheduler) Done() <-chan struct{} { return s.done }

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

// sendFinalHandovers tells the successors how the last open claims ended.
func (s *Scheduler) sendFinalHandovers() {
	var wait sync.WaitGroup
	for _, command := range s.applyClaimEvent(core.Retire{}) {
		if c, ok := command.(core.HandoverSent); ok {
			wait.Go(func() { s.sendHandover(context.Background(), c.Handover) })
		}
	}
	wait.Wait()
}

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
