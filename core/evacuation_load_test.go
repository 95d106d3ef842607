package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// Guards against streams that are lost with their engines when several leave at once and the
// others are crowded, and against copies that come to nothing.
var _ = Describe("seven engines that leave at once", func() {
	newPlan := func() evacuationLoad {
		l := evacuationLoad{
			rules:       core.DefaultEvacuationRules(),
			reserve:     true,
			firstEvents: true,
			ends:        true,
			maxTargets:  3,
		}
		l.rules.Notice = 1550 * time.Millisecond
		return l
	}
	// newBaseline returns the plan without limits for boxes that are silent, without the
	// engines' notice, and with targets chosen when the copy begins.
	newBaseline := func() evacuationLoad {
		l := evacuationLoad{
			rules:      core.DefaultEvacuationRules(),
			zonesFirst: true,
		}
		l.rules.StartLimit = 0
		return l
	}
	play := func(l evacuationLoad) evacuationResult {
		var sum evacuationResult
		for seed := range uint64(80) {
			r := l.play(seed)
			sum.lost += r.lost
			sum.copies += r.copies
			sum.refused += r.refused
		}
		AddReportEntry(fmt.Sprintf("%+v", sum))
		return sum
	}

	DescribeTable("lose fewer runs, with fewer copies,",
		func(lossRate float64) {
			plan, baseline := newPlan(), newBaseline()
			plan.lossRate, baseline.lossRate = lossRate, lossRate
			now, before := play(plan), play(baseline)
			Expect(now.lost).To(BeNumerically("<", before.lost/3))
			Expect(now.copies).To(BeNumerically("<", before.copies*9/10))
			Expect(now.refused).To(BeNumerically("<", before.refused*3/4))
		},
		Entry("if all messages arrive", 0.0),
		Entry("if one message in twenty is lost", 0.05),
	)
})

// evacuationLoad plays engines that leave at once in virtual time: 7 of 44, with six runs of as
// many boxes each. A copy takes 0.19 s of the source's and the target's link, twice that to
// another zone; the other engines have room for 0 to 3 runs, which prompts take as well.
type evacuationLoad struct {
	rules       core.EvacuationRules
	reserve     bool // targets are reserved before the turn, and refusals are shared
	firstEvents bool // runs are queued at their first event, and not tried before
	ends        bool // the plan knows when runs end by themselves
	maxTargets  int  // targets tried in one turn
	lossRate    float64
	zonesFirst  bool // engines of other zones come before those of the zone that get another copy
	random      *rand.Rand
	virtualTime
	sources []*leavingEngine
	targets []*targetEngine
	result  evacuationResult
}

type evacuationResult struct{ lost, copies, refused int }

type leavingEngine struct {
	id       int
	zone     int
	goneAt   time.Time
	linkFree time.Time
	runs     []*leavingRun
}

type leavingRun struct {
	id       string
	engine   *leavingEngine
	beginsAt time.Time
	endsAt   time.Time
	isMoved  bool
	plan     *core.Evacuation // of its box; nil until that hears that the engine leaves
	moves    *core.MoveReservations
	target   int // the reserved one, or -1
	inTurn   bool
	wakeAt   time.Time
}

type targetEngine struct {
	zone     int
	free     int // runs for which there is room
	reported int // the same at the last report
	reserved int // moves that are announced
	linkFree time.Time
}

const (
	loadCopyTime   = 190 * time.Millisecond
	loadEventTime  = 40 * time.Millisecond
	loadZones      = 3
	loadRetryDelay = 80 * time.Millisecond
)

func (l *evacuationLoad) between(from, to time.Duration) time.Duration {
	return from + time.Duration(l.random.Int64N(int64(to-from)))
}

// play runs the load once and returns what came of it.
func (l evacuationLoad) play(seed uint64) evacuationResult {
	l.random = rand.New(rand.NewPCG(seed, 1))
	l.now = evacuationStart
	for i := range 37 {
		free := []int{0, 0, 0, 0, 1, 1, 1, 2, 2, 3}[l.random.IntN(10)]
		l.targets = append(l.targets, &targetEngine{
			zone:     i % loadZones,
			free:     free,
			reported: free,
		})
	}
	for i := range 7 {
		e := &leavingEngine{
			id:     i,
			zone:   l.random.IntN(loadZones),
			goneAt: l.now.Add(l.between(1500*time.Millisecond, 2*time.Second)),
		}
		l.sources = append(l.sources, e)
		for n := range 6 {
			r := &leavingRun{
				id:       fmt.Sprintf("%04d-%d-%d", l.random.IntN(10000), i, n),
				engine:   e,
				beginsAt: l.now,
				moves:    core.NewMoveReservations(),
				target:   -1,
			}
			left := 1 + l.random.IntN(187)
			if l.random.IntN(8) == 0 {
				left = 187
				r.beginsAt = l.now.Add(l.between(100*time.Millisecond, 1200*time.Millisecond))
			}
			r.endsAt = r.beginsAt.Add(time.Duration(left) * loadEventTime)
			e.runs = append(e.runs, r)
			l.after(l.between(10*time.Millisecond, 60*time.Millisecond), func() { l.hear(r) })
		}
	}
	l.after(0, l.tick)
	l.runUntil(evacuationStart.Add(2100 * time.Millisecond))
	for _, e := range l.sources {
		for _, r := range e.runs {
			if !r.isMoved && r.endsAt.After(e.goneAt) {
				l.result.lost++
			}
		}
	}
	return l.result
}

// tick lets runs end at the other engines and prompts take their room, and reports it.
func (l *evacuationLoad) tick() {
	for i, t := range l.targets {
		if l.random.Float64() < 0.09 {
			t.free++
		}
		if room := t.free - t.reserved; l.random.Float64() < 0.09 && (room > 0 || (!l.reserve && t.free > 0)) {
			t.free--
		}
		if (int(l.now.Sub(evacuationStart)/(100*time.Millisecond))+i)%5 == 0 {
			t.reported = t.free
		}
	}
	l.after(100*time.Millisecond, l.tick)
}

// hear lets a run's box learn that its engine leaves.
func (l *evacuationLoad) hear(r *leavingRun) {
	if r.plan != nil {
		return
	}
	r.plan = core.NewEvacuation(l.now, l.rules)
	l.add(r)
	if l.firstEvents && l.now.Before(r.beginsAt) {
		l.at(r.beginsAt, func() { l.add(r) })
	}
}

// add queues a run for its move, at its box and at the others.
func (l *evacuationLoad) add(r *leavingRun) {
	if r.isMoved || l.now.After(r.endsAt) || (l.firstEvents && l.now.Before(r.beginsAt)) {
		return
	}
	run := core.EvacuatedRun{
		ID:       r.id,
		Value:    1,
		CopyTime: loadCopyTime,
	}
	if l.ends {
		run.EndsIn = r.endsAt.Sub(l.now)
	}
	l.broadcast(r, core.RunsAdded{Runs: []core.EvacuatedRun{run}})
	l.step(r, core.RunsAdded{Runs: []core.EvacuatedRun{run}, Own: true})
}

// broadcast sends an event to the boxes of the other runs of the engine.
func (l *evacuationLoad) broadcast(from *leavingRun, ev core.Event) {
	for _, r := range from.engine.runs {
		if r != from && l.random.Float64() >= l.lossRate {
			l.after(l.between(time.Millisecond, 5*time.Millisecond), func() {
				l.hear(r)
				l.step(r, ev)
			})
		}
	}
}

func (l *evacuationLoad) step(r *leavingRun, ev core.Event) {
	for _, command := range r.plan.Step(l.now, ev) {
		switch c := command.(type) {
		case core.PrepareMove:
			if l.reserve && !r.inTurn {
				l.choose(r, false, nil)
			}
		case core.MoveRun:
			l.startMove(r, nil)
		case core.WakeAt:
			r.wakeAt = c.At
			l.at(c.At, func() { l.wake(r, c.At) })
		}
	}
}

// wake steps the plan of a run's box, unless another time was requested since.
func (l *evacuationLoad) wake(r *leavingRun, at time.Time) {
	if r.wakeAt.Equal(at) {
		r.wakeAt = time.Time{}
		l.step(r, core.WakeTimeReached{})
	}
}

// choose chooses and announces the target of a run.
func (l *evacuationLoad) choose(r *leavingRun, started bool, refused map[int]bool) bool {
	best, bestClass := -1, core.NoRoomKnown
	for _, i := range l.random.Perm(len(l.targets)) {
		t := l.targets[i]
		if refused[i] || r.moves.Refused(l.now, fmt.Sprint(i)) {
			continue
		}
		busy := r.moves.Busy(l.now, fmt.Sprint(i), r.id)
		state := core.TargetState{
			SameZone:  t.zone == r.engine.zone,
			Busy:      busy,
			RoomAtEnd: t.reported > 1 || (t.reported > 0 && !busy),
		}
		class := state.Class()
		if l.zonesFirst && state.RoomAtEnd && state.Busy && state.SameZone {
			class = core.RoomElsewhere + 1
		}
		if best < 0 || class < bestClass {
			best, bestClass = i, class
		}
	}
	if best < 0 || (!started && bestClass == core.NoRoomKnown) {
		return false
	}
	l.release(r)
	r.target = best
	l.targets[best].reserved++
	l.announce(r, started, refused)
	return true
}

// announce tells all boxes of a run's target.
func (l *evacuationLoad) announce(r *leavingRun, started bool, refused map[int]bool) {
	reservation := core.MoveReservation{
		Run:     r.id,
		Target:  fmt.Sprint(r.target),
		Started: started,
	}
	r.moves.Reserve(l.now, reservation)
	for _, e := range l.sources {
		for _, o := range e.runs {
			if o == r || l.random.Float64() < l.lossRate {
				continue
			}
			l.after(l.between(time.Millisecond, 5*time.Millisecond), func() { l.hearReservation(o, reservation, refused) })
		}
	}
	if started && l.rules.StartLimit > 0 {
		l.broadcast(r, core.MoveStarted{ID: r.id})
	}
}

func (l *evacuationLoad) hearReservation(r *leavingRun, reservation core.MoveReservation, refused map[int]bool) {
	yields := r.moves.Yields(l.now, reservation)
	r.moves.Reserve(l.now, reservation)
	for i := range refused {
		if l.reserve {
			r.moves.Refuse(l.now, fmt.Sprint(i))
		}
	}
	if slices.Contains(yields, r.id) && !r.inTurn {
		l.choose(r, false, nil)
	}
}

// release gives back a run's reservation.
func (l *evacuationLoad) release(r *leavingRun) {
	if r.target >= 0 {
		l.targets[r.target].reserved--
	}
	r.target = -1
}

// startMove moves a run in its turn, to its reserved target or another one.
func (l *evacuationLoad) startMove(r *leavingRun, refused map[int]bool) {
	r.inTurn = true
	tooMany := l.maxTargets > 0 && len(refused) >= l.maxTargets
	switch {
	case l.now.After(r.engine.goneAt), l.now.After(r.endsAt), tooMany:
		l.finish(r, tooMany)
		return
	case r.target >= 0 && !refused[r.target]:
		l.announce(r, true, refused)
	case !l.choose(r, true, refused):
		l.finish(r, true)
		return
	}
	t := l.targets[r.target]
	copyTime, answerTime := loadCopyTime, 2*time.Millisecond
	if t.zone != r.engine.zone {
		copyTime, answerTime = 2*copyTime, 2*answerTime
	}
	l.result.copies++
	if l.now.Before(r.beginsAt) {
		l.result.refused++
		l.after(answerTime, func() { l.finish(r, true) })
		return
	}
	if t.free <= 0 {
		l.result.refused++
		l.after(answerTime, func() {
			tried := map[int]bool{r.target: true}
			for i := range refused {
				tried[i] = true
			}
			l.startMove(r, tried)
		})
		return
	}
	t.free--
	begin := latest(l.now.Add(answerTime/2), r.engine.linkFree, t.linkFree)
	end := begin.Add(copyTime)
	r.engine.linkFree, t.linkFree = end, end
	l.at(end.Add(answerTime/2), func() {
		if end.After(r.engine.goneAt) {
			l.finish(r, false)
			return
		}
		r.isMoved = true
		l.after(answerTime+5*time.Millisecond, func() { l.finish(r, false) }) // the last copy
	})
}

// finish ends the turn of a run, which may get another one.
func (l *evacuationLoad) finish(r *leavingRun, mayRetry bool) {
	r.inTurn = false
	l.release(r)
	l.broadcast(r, core.RunFinished{ID: r.id})
	l.step(r, core.RunFinished{ID: r.id})
	if mayRetry {
		l.after(loadRetryDelay, func() { l.add(r) })
	}
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, o := range others {
		if o.After(first) {
			first = o
		}
	}
	return first
}
