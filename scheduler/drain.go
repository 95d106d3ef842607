package scheduler

import (
	"context"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// handoverLimit bounds how long a stopping scheduler tries to hand over to
// boxes that don't answer.
const handoverLimit = 5 * time.Second

func (s *Scheduler) taking() bool {
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
	s.follow(context.Background())
	s.stepHome(context.Background(), core.Retire{})
	go s.drainOut()
}

// Done is closed when the process may end.
func (s *Scheduler) Done() <-chan struct{} { return s.left }

func (s *Scheduler) drainOut() {
	began := time.Now()
	for {
		time.Sleep(100 * time.Millisecond)
		if s.drained(began) {
			break
		}
	}
	s.lastHandover()
	s.drainLock.Lock()
	s.drain.Step(time.Now(), core.WorkChanged{})
	s.drainLock.Unlock()
	s.stop()
	s.server.Close()
	close(s.left)
}

// lastHandover tells the successors how the last open claims ended.
func (s *Scheduler) lastHandover() {
	var wait sync.WaitGroup
	for _, command := range s.stepHomeQuiet(core.Retire{}) {
		if c, ok := command.(core.HandoverSent); ok {
			wait.Go(func() { s.giveHandover(context.Background(), c.Handover) })
		}
	}
	wait.Wait()
}

func (s *Scheduler) drained(began time.Time) bool {
	passed := time.Since(began)
	if passed > s.settings.DrainTimeout {
		return true
	}
	if passed < core.DefaultLeaseRules().TTL {
		return false
	}
	s.homeLock.Lock()
	open := s.home.Open()
	s.homeLock.Unlock()
	return open == 0 && (s.allHandedOver() || passed > handoverLimit)
}

func (s *Scheduler) handedOver(to string) { s.successors.Store(to, true) }

func (s *Scheduler) allHandedOver() bool {
	list := s.state.View().List
	if list == nil {
		return true
	}
	for i := range list.Boxes {
		name := list.Boxes[i].Name
		if name == s.self.Name {
			continue
		}
		if _, done := s.successors.Load(name); !done {
			return false
		}
	}
	return true
}
