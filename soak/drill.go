package soak

import (
	"math/rand/v2"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// drillFirst is the first seed in which the store comes back from an older copy; those
	// before keep what they were.
	drillFirst = 3000
	// drillAge is how old the copy is, at most.
	drillAge = 3 * time.Second
	// drillAway is how long the store is away, at most.
	drillAway = time.Second
	// rewriteTime is within what servers write their entries again, and lapseTime after
	// what the entries of servers go that don't.
	rewriteTime = 1200 * time.Millisecond
	lapseTime   = 3600 * time.Millisecond
)

// drill lets the store come back from an older copy, twice in a run, from a series of its
// own.
type drill struct {
	injector *injector
	r        *rand.Rand
	copied   *emulator.StoreSnapshot
	copiedAt time.Time
	left     int // how many are still to come
}

func newDrill(i *injector, seed uint64) *drill {
	d := &drill{
		injector: i,
		r:        rand.New(rand.NewPCG(seed, 77)),
	}
	if seed >= drillFirst {
		d.left = 2
	}
	return d
}

// step takes a copy, or lets the store come back from the one before.
func (d *drill) step() {
	if d.left == 0 {
		return
	}
	i := d.injector
	store := i.fleet.deployment.Store
	if d.copied == nil || time.Since(d.copiedAt) > drillAge {
		d.copied = store.Snapshot()
		d.copiedAt = time.Now()
		return
	}
	d.left--
	i.say("the store comes back %s old", time.Since(d.copiedAt).Round(time.Millisecond))
	i.storeAt = append(i.storeAt, time.Now())
	store.SetFault(emulator.StoreReset, 0)
	time.Sleep(time.Duration(d.r.Int64N(int64(drillAway))))
	store.Restore(d.copied)
	store.SetFault(emulator.StoreNoFault, 0)
	d.copied = nil
	i.storeAt = append(i.storeAt, time.Now())
	d.writeAgain()
}

// writeAgain lets the operator and the servers write again what they wrote.
func (d *drill) writeAgain() {
	i := d.injector
	time.Sleep(time.Duration(d.r.Int64N(int64(rewriteTime))))
	i.publishAgain()
	for _, s := range i.fleet.servers {
		switch {
		case s.left.IsZero():
			i.fleet.deployment.ListAt(s.Server, s.proxy.Address(), s.service, "ready")
		case s.notice.IsLeaving:
			i.fleet.deployment.ListAt(s.Server, s.proxy.Address(), s.service, "draining")
		default:
			time.AfterFunc(lapseTime, func() { i.fleet.deployment.Unlist(s.ID) })
		}
	}
}
