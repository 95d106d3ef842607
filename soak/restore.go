package soak

import (
	"math/rand/v2"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// firstRestoreSeed is the first seed in which the store comes back from an older copy; those
	// before keep what they were.
	firstRestoreSeed = 3000
	// minCopyAge is how old the copy is, at most.
	minCopyAge = 3 * time.Second
	// maxStoreDowntime is how long the store is away, at most.
	maxStoreDowntime = time.Second
	// maxRewriteDelay is within what servers write their entries again, and lapseTime after
	// what the entries of servers go that don't.
	maxRewriteDelay = 1200 * time.Millisecond
	entryLifetime   = 3600 * time.Millisecond
)

// storeRestorer lets the store come back from an older copy, twice in a run, from a series of its
// own.
type storeRestorer struct {
	injector   *injector
	r          *rand.Rand
	backup     *emulator.StoreCopy
	backupTime time.Time
	remaining  int // how many are still to come
}

func newStoreRestorer(i *injector, seed uint64) *storeRestorer {
	d := &storeRestorer{
		injector: i,
		r:        rand.New(rand.NewPCG(seed, 77)),
	}
	if seed >= firstRestoreSeed {
		d.remaining = 2
	}
	return d
}

// step takes a copy, or lets the store come back from the one before.
func (d *storeRestorer) step() {
	if d.remaining == 0 {
		return
	}
	i := d.injector
	store := i.fleet.deployment.Store
	if d.backup == nil || time.Since(d.backupTime) > minCopyAge {
		d.backup = store.Copy()
		d.backupTime = time.Now()
		return
	}
	d.remaining--
	i.recordFault("the store comes back %s old", time.Since(d.backupTime).Round(time.Millisecond))
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	store.SetFault(emulator.StoreReset, 0)
	time.Sleep(time.Duration(d.r.Int64N(int64(maxStoreDowntime))))
	store.Return(d.backup)
	store.SetFault(emulator.StoreWell, 0)
	d.backup = nil
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	d.rewriteEntries()
}

// rewriteEntries lets the operator and the servers write again what they wrote.
func (d *storeRestorer) rewriteEntries() {
	i := d.injector
	time.Sleep(time.Duration(d.r.Int64N(int64(maxRewriteDelay))))
	i.republish()
	for _, s := range i.fleet.servers {
		switch {
		case s.leavingSince.IsZero():
			i.fleet.deployment.ListAt(s.Server, s.proxy.Address(), s.service, "ready")
		case s.notice.Leaving:
			i.fleet.deployment.ListAt(s.Server, s.proxy.Address(), s.service, "draining")
		default:
			time.AfterFunc(entryLifetime, func() { i.fleet.deployment.Unlist(s.ID) })
		}
	}
}
