package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// injector injects a sequence of faults, some of which overlap. The same seed gives the same
// sequence.
type injector struct {
	fleet           *fleet
	r               *rand.Rand
	plannedOnly     bool     // no unplanned faults are injected
	descriptions    []string // the injected faults, for the report
	version         uint64
	lastPublished   *emulator.Document
	undo            []func()    // end the active faults, oldest first
	storeFaultTimes []time.Time // starts and ends of faults of the store and its links
	keyRevokedAt    time.Time
	revokedVersion  uint64      // of the first configuration without the key; 0 before it
	unexpectedExits []string    // violations: boxes that exited without being signalled
	memoryLostTimes []time.Time // when all boxes that ran were killed
}

func newInjector(f *fleet, seed uint64, plannedOnly bool) *injector {
	return &injector{
		fleet:       f,
		r:           rand.New(rand.NewPCG(seed, 99)),
		plannedOnly: plannedOnly,
		version:     1,
	}
}

func (i *injector) recordFault(format string, args ...any) {
	i.descriptions = append(i.descriptions, fmt.Sprintf(format, args...))
}

// injectRandom injects one random fault and queues the function that ends it.
func (i *injector) injectRandom() {
	plannedWork := []func(){i.stopBox, i.drainServer, i.publishConfiguration, i.reloadBox}
	unplanned := []func(){i.killBox, i.pauseBox, i.faultServerLink, i.faultServer, i.crashServer, i.faultStore, i.cutStoreLink, i.unlistServer, i.compactStore}
	all := plannedWork
	if !i.plannedOnly {
		all = append(all, unplanned...)
	}
	all[i.r.IntN(len(all))]()
}

func (i *injector) randomBox() *boxProcess { return i.fleet.boxes[i.r.IntN(len(i.fleet.boxes))] }

// maxStartupTime bounds how long a new process may lack its signal handlers, so that a
// signal ends it.
const maxStartupTime = 2 * time.Second

// restartExited restarts boxes that exited by themselves, as the platform does. A signal
// may end a process that is still starting; any other exit is a violation.
func (i *injector) restartExited() {
	for _, b := range i.fleet.boxes {
		exitedUnexpectedly, uptime := b.exitedUnexpectedly()
		if !exitedUnexpectedly {
			continue
		}
		i.recordFault("%s exited by itself", b.settings.Name)
		if uptime > maxStartupTime {
			i.unexpectedExits = append(i.unexpectedExits, fmt.Sprintf("%s exited by itself %s after its start", b.settings.Name, uptime))
		}
		if err := b.start(i.fleet.program); err != nil {
			i.recordFault("%s failed to start: %v", b.settings.Name, err)
		}
	}
}

// randomServer returns a random server that is still listed as ready.
func (i *injector) randomServer() *listedServer { return i.randomServerFrom(i.r) }

// randomServerFrom is randomServer with another random source.
func (i *injector) randomServerFrom(r *rand.Rand) *listedServer {
	for {
		s := i.fleet.servers[r.IntN(len(i.fleet.servers))]
		if s.leavingSince.IsZero() {
			return s
		}
	}
}

func (i *injector) stopBox() {
	b := i.randomBox()
	i.recordFault("SIGTERM to %s", b.settings.Name)
	b.signal(syscall.SIGTERM)
	if i.r.IntN(3) == 0 {
		b.signal(syscall.SIGTERM)
	}
	i.restartAfterExit(b, (graceSeconds+1)*time.Second)
}

// restartAfterExit queues the restart of a box whose process is ending. A process that
// hasn't exited within the timeout is killed, as the platform does.
func (i *injector) restartAfterExit(b *boxProcess, timeout time.Duration) {
	exited := b.exitChannel()
	b.markRestarting()
	i.undo = append(i.undo, func() {
		select {
		case <-exited:
		case <-time.After(timeout):
			b.signal(syscall.SIGKILL)
			<-exited
		}
		if b.exitChannel() == exited {
			if err := b.start(i.fleet.program); err != nil {
				i.recordFault("%s failed to start: %v", b.settings.Name, err)
			}
		}
	})
}

func (i *injector) killBox() {
	b := i.randomBox()
	i.recordFault("SIGKILL to %s", b.settings.Name)
	i.recordMemoryLoss(b)
	b.signal(syscall.SIGKILL)
	i.restartAfterExit(b, time.Second)
}

func (i *injector) pauseBox() {
	b := i.randomBox()
	i.recordFault("SIGSTOP to %s", b.settings.Name)
	b.signal(syscall.SIGSTOP)
	i.undo = append(i.undo, func() { b.signal(syscall.SIGCONT) })
}

func (i *injector) reloadBox() {
	b := i.randomBox()
	i.recordFault("SIGHUP to %s", b.settings.Name)
	b.signal(syscall.SIGHUP)
}

func (i *injector) faultServerLink() {
	s := i.randomServer()
	fault := []LinkFault{Delayed, Reset, Silent, OneWay, Trickled}[i.r.IntN(5)]
	i.recordFault("link to %s %s", s.ID, fault)
	s.disturbed = true
	s.proxy.Set(fault)
	i.undo = append(i.undo, func() { s.proxy.Set(NoFault) })
}

func (i *injector) faultServer() {
	s := i.randomServer()
	all := []emulator.Fault{emulator.Cut, emulator.Reset, emulator.NoAnswer, emulator.Garble, emulator.ExtraAnswer, emulator.Trailing,
		emulator.Unframed, emulator.InternalError, emulator.Shed, emulator.RanButRefused, emulator.Unsigned, emulator.Misdirected}
	fault := all[i.r.IntN(len(all))]
	i.recordFault("%s answers with the fault %s", s.ID, fault)
	s.disturbed = true
	s.SetFault(fault, 8)
	i.undo = append(i.undo, func() { s.SetFault(emulator.NoFault, 0) })
}

// drainServer replaces a server in a planned way: the server is listed as draining and keeps
// serving, and a new one is listed.
func (i *injector) drainServer() { i.drain(i.randomServer()) }

func (i *injector) drain(s *listedServer) {
	i.recordFault("%s drains", s.ID)
	i.fleet.deployment.PutEntryAt(s.Server, s.proxy.Address(), s.service, "draining")
	s.leavingSince = time.Now()
	s.announce(func(n *emulator.StatusHeaders) { n.IsLeaving = true })
	if _, err := i.fleet.addServer(s.service); err != nil {
		i.recordFault("replacement server failed to start: %v", err)
	}
}

func (i *injector) unlistServer() {
	s := i.randomServer()
	i.recordFault("%s removed from the list", s.ID)
	i.fleet.deployment.RemoveEntry(s.ID)
	s.leavingSince = time.Now()
	s.disturbed = true
	if _, err := i.fleet.addServer(s.service); err != nil {
		i.recordFault("replacement server failed to start: %v", err)
	}
}

func (i *injector) crashServer() { i.crash(i.randomServer()) }

func (i *injector) crash(s *listedServer) {
	i.recordFault("%s crashes", s.ID)
	s.Crash()
	s.disturbed = true
	i.replaceServer(s)
}

// replaceServer removes a server from the list and lists a new one of the same service.
func (i *injector) replaceServer(s *listedServer) {
	i.fleet.deployment.RemoveEntry(s.ID)
	s.leavingSince = time.Now()
	if _, err := i.fleet.addServer(s.service); err != nil {
		i.recordFault("replacement server failed to start: %v", err)
	}
}

func (i *injector) publishConfiguration() {
	i.version += uint64(i.r.IntN(3))
	i.publish(i.r.IntN(2) == 0)
}

// publish publishes the next configuration, without the second customer's key if it is to be
// revoked or has been.
func (i *injector) publish(revokesKey bool) {
	i.version++
	i.recordFault("configuration %d", i.version)
	document := emulator.NewDocument(i.version, i.fleet.documentOptions...)
	if revokesKey || !i.keyRevokedAt.IsZero() {
		// The second customer's key is revoked for the rest of the run.
		document.Tenants = document.Tenants[:1]
		if i.keyRevokedAt.IsZero() {
			i.keyRevokedAt = time.Now()
			i.revokedVersion = i.version
		}
	}
	i.lastPublished = document
	i.fleet.deployment.Publish(document)
}

// republish writes the last configuration again, which a restored store may lack.
func (i *injector) republish() {
	if i.lastPublished != nil {
		i.fleet.deployment.Publish(i.lastPublished)
	}
}

func (i *injector) faultStore() {
	fault := []emulator.StoreFault{emulator.StoreUnavailable, emulator.StoreTooManyRequests, emulator.StoreSilent, emulator.StoreReset}[i.r.IntN(4)]
	i.recordFault("store %s", fault)
	i.fleet.deployment.Store.SetFault(fault, 0)
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	i.undo = append(i.undo, func() {
		i.fleet.deployment.Store.SetFault(emulator.StoreNoFault, 0)
		i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	})
}

func (i *injector) cutStoreLink() {
	b := i.randomBox()
	fault := []LinkFault{Reset, Silent, OneWay}[i.r.IntN(3)]
	i.recordFault("store to %s %s", b.settings.Name, fault)
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	b.storeProxy.Set(fault)
	i.undo = append(i.undo, func() {
		b.storeProxy.Set(NoFault)
		i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	})
}

func (i *injector) compactStore() {
	i.recordFault("store compacted")
	i.fleet.deployment.Store.Compact()
}
