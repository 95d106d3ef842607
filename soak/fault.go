package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// injector brings about a series of faults that may overlap; the same seed
// gives the same series.
type injector struct {
	fleet   *fleet
	r       *rand.Rand
	planned bool // planned work only
	done    []string
	version uint64
	last    *emulator.Document // that was published
	undo    []func()
	storeAt []time.Time // when the store or a link to it was troubled
	revoked time.Time
	ends    []string // boxes that ended by themselves
}

func newInjector(f *fleet, seed uint64, planned bool) *injector {
	return &injector{
		fleet:   f,
		r:       rand.New(rand.NewPCG(seed, 99)),
		planned: planned,
		version: 1,
	}
}

func (i *injector) say(format string, args ...any) {
	i.done = append(i.done, fmt.Sprintf(format, args...))
}

// inject brings about one fault, and gives what ends it.
func (i *injector) inject() {
	plannedWork := []func(){i.stopBox, i.drainServer, i.publish, i.hup}
	unplanned := []func(){i.killBox, i.pauseBox, i.troubleServer, i.faultServer, i.crashServer, i.troubleStore, i.cutStore, i.unlistServer, i.compact}
	all := plannedWork
	if !i.planned {
		all = append(all, unplanned...)
	}
	all[i.r.IntN(len(all))]()
}

func (i *injector) box() *member { return i.fleet.boxes[i.r.IntN(len(i.fleet.boxes))] }

// startupTime is how long a process may still be without its signal handlers;
// the runtime starts in some milliseconds, more on a busy machine.
const startupTime = 2 * time.Second

// revive starts boxes again that ended by themselves, as the platform does. A
// signal may end a process that is just starting; any other end is a finding.
func (i *injector) revive() {
	for _, b := range i.fleet.boxes {
		died, after := b.died()
		if !died {
			continue
		}
		i.say("%s ended by itself", b.settings.Name)
		if after > startupTime {
			i.ends = append(i.ends, fmt.Sprintf("%s ended by itself %s after its start", b.settings.Name, after))
		}
		if err := b.start(i.fleet.program); err != nil {
			i.say("%s did not start: %v", b.settings.Name, err)
		}
	}
}

// server gives a server that still works, of a service of which another is
// left.
func (i *injector) server() *listed {
	for {
		s := i.fleet.servers[i.r.IntN(len(i.fleet.servers))]
		if s.left.IsZero() {
			return s
		}
	}
}

func (i *injector) stopBox() {
	b := i.box()
	i.say("SIGTERM to %s", b.settings.Name)
	b.signal(syscall.SIGTERM)
	if i.r.IntN(3) == 0 {
		b.signal(syscall.SIGTERM)
	}
	i.restartLater(b, (graceSeconds+1)*time.Second)
}

// restartLater starts a box again once its process has ended; one that doesn't
// leave in its time is killed, as the platform does.
func (i *injector) restartLater(b *member, most time.Duration) {
	exited := b.gone()
	b.awaitRestart()
	i.undo = append(i.undo, func() {
		select {
		case <-exited:
		case <-time.After(most):
			b.signal(syscall.SIGKILL)
			<-exited
		}
		if b.gone() == exited {
			if err := b.start(i.fleet.program); err != nil {
				i.say("%s did not start: %v", b.settings.Name, err)
			}
		}
	})
}

func (i *injector) killBox() {
	b := i.box()
	i.say("SIGKILL to %s", b.settings.Name)
	b.signal(syscall.SIGKILL)
	i.restartLater(b, time.Second)
}

func (i *injector) pauseBox() {
	b := i.box()
	i.say("SIGSTOP to %s", b.settings.Name)
	b.signal(syscall.SIGSTOP)
	i.undo = append(i.undo, func() { b.signal(syscall.SIGCONT) })
}

func (i *injector) hup() {
	b := i.box()
	i.say("SIGHUP to %s", b.settings.Name)
	b.signal(syscall.SIGHUP)
}

func (i *injector) troubleServer() {
	s := i.server()
	t := []Trouble{Delayed, Reset, Silent, OneWay, Slowed}[i.r.IntN(5)]
	i.say("link to %s %s", s.ID, t)
	s.hurt = true
	s.proxy.Set(t)
	i.undo = append(i.undo, func() { s.proxy.Set(Clear) })
}

func (i *injector) faultServer() {
	s := i.server()
	all := []emulator.Fault{emulator.Cut, emulator.Reset, emulator.NoAnswer, emulator.Garble, emulator.ExtraAnswer, emulator.Trailing,
		emulator.Unframed, emulator.InternalError, emulator.Shed, emulator.RanButRefused, emulator.Unsigned, emulator.Misdirected}
	fault := all[i.r.IntN(len(all))]
	i.say("%s answers with the fault %s", s.ID, fault)
	s.hurt = true
	s.SetFault(fault, 8)
	i.undo = append(i.undo, func() { s.SetFault(emulator.NoFault, 0) })
}

// drainServer replaces a server as planned: it is listed as leaving, serves on,
// and ends.
func (i *injector) drainServer() {
	s := i.server()
	i.say("%s drains", s.ID)
	i.fleet.deployment.ListAt(s.Server, s.proxy.Address(), s.service, "draining")
	s.left = time.Now()
	s.announce(func(n *emulator.StatusHeaders) { n.IsLeaving = true })
	if _, err := i.fleet.addServer(s.service); err != nil {
		i.say("no new server: %v", err)
	}
}

func (i *injector) unlistServer() {
	s := i.server()
	i.say("%s goes from the list", s.ID)
	i.fleet.deployment.Unlist(s.ID)
	s.left = time.Now()
	s.hurt = true
	if _, err := i.fleet.addServer(s.service); err != nil {
		i.say("no new server: %v", err)
	}
}

func (i *injector) crashServer() {
	s := i.server()
	i.say("%s crashes", s.ID)
	s.Crash()
	s.hurt = true
	i.unlist(s)
}

func (i *injector) unlist(s *listed) {
	i.fleet.deployment.Unlist(s.ID)
	s.left = time.Now()
	if _, err := i.fleet.addServer(s.service); err != nil {
		i.say("no new server: %v", err)
	}
}

func (i *injector) publish() {
	i.version += 1 + uint64(i.r.IntN(3))
	i.say("configuration %d", i.version)
	document := emulator.NewDocument(i.version)
	if i.r.IntN(2) == 0 || !i.revoked.IsZero() {
		// The second customer loses its key, for good.
		document.Tenants = document.Tenants[:1]
		if i.revoked.IsZero() {
			i.revoked = time.Now()
		}
	}
	i.last = document
	i.fleet.deployment.Publish(document)
}

// publishAgain writes the last configuration once more, which the store may have lost.
func (i *injector) publishAgain() {
	if i.last != nil {
		i.fleet.deployment.Publish(i.last)
	}
}

func (i *injector) troubleStore() {
	fault := []emulator.StoreFault{emulator.StoreUnavailable, emulator.StoreTooManyRequests, emulator.StoreSilent, emulator.StoreReset}[i.r.IntN(4)]
	i.say("store %s", fault)
	i.fleet.deployment.Store.SetFault(fault, 0)
	i.storeAt = append(i.storeAt, time.Now())
	i.undo = append(i.undo, func() {
		i.fleet.deployment.Store.SetFault(emulator.StoreNoFault, 0)
		i.storeAt = append(i.storeAt, time.Now())
	})
}

func (i *injector) cutStore() {
	b := i.box()
	t := []Trouble{Reset, Silent, OneWay}[i.r.IntN(3)]
	i.say("store to %s %s", b.settings.Name, t)
	i.storeAt = append(i.storeAt, time.Now())
	b.store.Set(t)
	i.undo = append(i.undo, func() {
		b.store.Set(Clear)
		i.storeAt = append(i.storeAt, time.Now())
	})
}

func (i *injector) compact() {
	i.say("the store drops its history")
	i.fleet.deployment.Store.Compact()
}
