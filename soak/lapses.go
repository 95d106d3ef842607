package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// firstLapseSeed is the first seed in whose run servers renew their entries, which lapse in
	// series of faults. Odd seeds have a single box, which is also cut off from all servers.
	firstLapseSeed = 8000
	lapseRounds    = 3
	hangRounds     = 2 // of those, rounds in which a single box is cut off
	// renewalInterval is how often servers renew their entries.
	renewalInterval = 1200 * time.Millisecond
	// minStoreDowntime and maxStoreExtra bound how long the store is down: from shortly before the
	// first entries lapse.
	minStoreDowntime = 3 * time.Second
	maxStoreExtra    = 2500 * time.Millisecond
	// maxCutTime bounds how long servers don't reach a sound store.
	maxCutTime = 6 * time.Second
	// hangTime is how long new connections to servers hang.
	hangTime = 2500 * time.Millisecond
	// settleTime is the time from the end of a fault until its effects are over: for the entries to
	// come back, and for boxes to start and to meet each other.
	settleTime = 5 * time.Second
	// calmTime is the time before and after a fault in which the share of served requests counts.
	calmTime = 2500 * time.Millisecond
	// streamTime is longer than a stream lasts.
	streamTime = 2500 * time.Millisecond
	// minShareAfter is how often requests must be served after a fault, compared to before it.
	minShareAfter = 0.75
	// minShareRequests is the number of requests from which a share counts.
	minShareRequests = 10
	// hangStreamDeadline is the deadline of streams where boxes are cut off: shortly after the
	// stream's usual end, so that some streams break off shortly before it.
	hangStreamDeadline = 2600 * time.Millisecond
)

func hasLapses(seed uint64) bool { return seed >= firstLapseSeed && !hasStops(seed) }

// hasHangs reports whether the paths from a seed's single box to all servers fail.
func hasHangs(seed uint64) bool { return hasLapses(seed) && seed%2 == 1 }

// lapses has servers' entries lapse: while the store is down, or while their servers alone don't
// reach it. Servers leave and end, and boxes are signalled meanwhile.
type lapses struct {
	injector *injector
	r        *rand.Rand
	hasHangs bool
	calmFrom time.Time // time before the first fault in which the share of served requests counts
	calmTo   time.Time
	rounds   []lapseRound
}

// lapseRound is one fault and its effects.
type lapseRound struct {
	what               string
	hasLapses          bool // entries of servers lapsed
	beganAt, settledAt time.Time
}

func newLapses(i *injector, seed uint64) *lapses {
	return &lapses{
		injector: i,
		r:        rand.New(rand.NewPCG(seed, 88)),
		hasHangs: hasHangs(seed),
	}
}

// run injects the faults in series, with calm times between them.
func (l *lapses) run() {
	i := l.injector
	faults := []func(){l.storeOutage, l.serversCut}
	l.calmFrom = time.Now()
	time.Sleep(calmTime)
	l.calmTo = time.Now()
	for n := range lapseRounds {
		time.Sleep(streamTime) // requests of the calm time end before the fault
		fault := faults[l.r.IntN(len(faults))]
		if l.hasHangs && n < hangRounds {
			fault = l.hang
		}
		described, beganAt := len(i.descriptions), time.Now()
		fault()
		i.restartExited()
		for len(i.undo) > 0 {
			i.undoOldest()
		}
		time.Sleep(settleTime)
		l.rounds = append(l.rounds, lapseRound{
			what:      i.descriptions[described],
			hasLapses: !l.hasHangs || n >= hangRounds,
			beganAt:   beganAt,
			settledAt: time.Now(),
		})
		time.Sleep(calmTime)
	}
}

// storeOutage has the store be down for long enough that entries lapse. Some servers leave or end
// meanwhile.
func (l *lapses) storeOutage() {
	i := l.injector
	d := minStoreDowntime + time.Duration(l.r.Int64N(int64(maxStoreExtra)))
	fault := []emulator.StoreFault{emulator.StoreUnavailable, emulator.StoreSilent, emulator.StoreReset}[l.r.IntN(3)]
	i.recordFault("store %s for %s, entries lapse", fault, d.Round(time.Millisecond))
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	i.fleet.deployment.Store.SetFault(fault, 0)
	time.Sleep(d / 2)
	l.disturb()
	l.loseServers()
	time.Sleep(d / 2)
	i.fleet.deployment.Store.SetFault(emulator.StoreNoFault, 0)
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
}

// loseServers replaces a server that ends and another one that leaves, each with a probability of a
// half.
func (l *lapses) loseServers() {
	i := l.injector
	if l.r.IntN(2) == 0 {
		s := i.randomServerFrom(l.r)
		i.recordFault("%s ends", s.ID)
		s.leavingSince = time.Now()
		s.disturbed = true
		s.Crash()
		i.fleet.leases.End(s.ID)
		l.addServer(s.service)
	}
	if l.r.IntN(2) == 0 {
		s := i.randomServerFrom(l.r)
		i.recordFault("%s drains", s.ID)
		s.leavingSince = time.Now()
		s.announce(func(n *emulator.StatusHeaders) { n.IsLeaving = true })
		i.fleet.hold(s)
		l.addServer(s.service)
	}
}

func (l *lapses) addServer(service string) {
	if _, err := l.injector.fleet.addServer(service); err != nil {
		l.injector.recordFault("replacement server failed to start: %v", err)
	}
}

// serversCut cuts some or all servers off from a sound store for as long as their entries lapse.
func (l *lapses) serversCut() {
	i := l.injector
	var ids []string
	for _, s := range i.fleet.servers {
		if s.leavingSince.IsZero() {
			ids = append(ids, s.ID)
		}
	}
	l.r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:1+l.r.IntN(len(ids))]
	d := missedTime + time.Duration(l.r.Int64N(int64(maxCutTime-missedTime)))
	i.recordFault("%d servers don't reach the store for %s", len(ids), d.Round(time.Millisecond))
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	i.fleet.leases.SetCut(true, ids...)
	time.Sleep(d / 2)
	l.disturb()
	time.Sleep(d / 2)
	i.fleet.leases.SetCut(false, ids...)
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
}

// missedTime is the time after which an entry that isn't renewed lapses at the latest.
const missedTime = 4 * renewalInterval

// disturb signals a box: a kill, a planned stop, a pause or a reload.
func (l *lapses) disturb() {
	i := l.injector
	boxes := i.fleet.boxes
	b := boxes[l.r.IntN(len(boxes))]
	kind := l.r.IntN(5)
	if len(boxes) == 1 {
		kind = 3 // callers have no other box
	}
	switch kind {
	case 0:
		i.recordFault("SIGKILL to %s", b.settings.Name)
		b.signal(syscall.SIGKILL)
		i.restartAfterExit(b, time.Second)
		i.undoOldest()
	case 1:
		i.recordFault("SIGTERM to %s", b.settings.Name)
		b.signal(syscall.SIGTERM)
		i.restartAfterExit(b, (graceSeconds+1)*time.Second)
	case 2:
		i.recordFault("SIGSTOP to %s", b.settings.Name)
		b.signal(syscall.SIGSTOP)
		i.undo = append(i.undo, func() { b.signal(syscall.SIGCONT) })
	case 3:
		i.recordFault("SIGHUP to %s", b.settings.Name)
		b.signal(syscall.SIGHUP)
	}
}

// hang resets all connections from the boxes to the servers, and has new ones hang.
func (l *lapses) hang() {
	i := l.injector
	i.recordFault("connections to servers are reset, and new ones hang for %s", hangTime)
	servers := i.fleet.servers
	for _, s := range servers {
		s.disturbed = true
		s.proxy.Hang()
	}
	time.Sleep(hangTime)
	for _, s := range servers {
		s.proxy.Unhang()
	}
}

// recordSeries records the faults of a run that has no lapsing entries as one.
func (l *lapses) recordSeries(beganAt time.Time) {
	l.calmTo = beganAt
	l.rounds = append(l.rounds, lapseRound{
		what:      "all of them",
		beganAt:   beganAt,
		settledAt: time.Now(),
	})
	time.Sleep(calmTime)
}

// checkShares checks that after each fault the boxes serve about as many of their callers' requests
// as before the first one, and that each listed plain server whose entry may have lapsed gets requests
// again. Boxes avoid a server for longer to which connections hung.
func (r *Report) checkShares(f *fleet, l *lapses, results []callResult) {
	runs := f.deployment.Runs()
	for n, round := range l.rounds {
		r.checkShare(results, allBoxes, "all boxes", n+1, l)
		for box, b := range f.boxes {
			r.checkShare(results, box, b.settings.Name, n+1, l)
		}
		for _, s := range f.servers {
			if !round.hasLapses {
				break
			}
			if s.service != emulator.PlainService || s.startedAt.After(round.beganAt) || !s.leavingSince.IsZero() {
				continue
			}
			if !startsRun(runs, s.ID, round.settledAt.Add(-calmTime), round.settledAt.Add(calmTime)) {
				r.addViolation("RECOVER: %s got no request after fault %d (%s)", s.ID, n+1, round.what)
			}
		}
	}
}

// checkShare checks the share of the requests that a box's callers, or all, have served after a fault,
// given by its number from 1. Few requests show nothing: some callers read long streams.
func (r *Report) checkShare(results []callResult, box int, name string, fault int, l *lapses) {
	round := l.rounds[fault-1]
	before := shareIn(results, box, l.calmFrom, l.calmTo)
	after := shareIn(results, box, round.settledAt, round.settledAt.Add(calmTime))
	if box == allBoxes {
		r.Shares = append(r.Shares, fmt.Sprintf("%.2f of %d", after.value(), after.sent))
	}
	if min(before.sent, after.sent) >= minShareRequests && after.value() < minShareAfter*before.value() {
		r.addViolation("RECOVER: %s served %d of %d requests after fault %d (%s), %d of %d before the first", name, after.served, after.sent, fault, round.what, before.served, before.sent)
	}
}

// startsRun reports whether a server began to run a request in a time.
func startsRun(runs map[string][]emulator.Run, server string, from, to time.Time) bool {
	for _, all := range runs {
		for _, run := range all {
			if run.Server == server && run.StartedAt.After(from) && run.StartedAt.Before(to) {
				return true
			}
		}
	}
	return false
}

// share is the part of the requests that was served.
type share struct {
	served, sent int
}

func (s share) value() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// allBoxes stands for the callers of all boxes.
const allBoxes = -1

// shareIn returns the share of the requests that a box's callers sent in a time. Those with the key
// that may be revoked don't count.
func shareIn(results []callResult, box int, from, to time.Time) (out share) {
	for _, s := range results {
		if (s.box != box && box != allBoxes) || s.key != emulator.Key || s.startedAt.Before(from) || s.startedAt.After(to) {
			continue
		}
		out.sent++
		if s.Status == http.StatusOK && s.IsComplete {
			out.served++
		}
	}
	return out
}
