package soak

import (
	"math/rand/v2"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// firstRestoreSeed is the first seed whose run restores the store from a backup. Lower
	// seeds keep their original faults.
	firstRestoreSeed = 3000
	maxBackupAge     = 3 * time.Second
	maxStoreDowntime = time.Second
	// maxRewriteDelay bounds the time until servers rewrite their entries after a restore.
	// The entry of a server that doesn't is removed after entryLifetime.
	maxRewriteDelay = 1200 * time.Millisecond
	entryLifetime   = 3600 * time.Millisecond
)

// storeRestorer restores the store from an older backup, twice in a run. It draws from its
// own random source, so that the other faults of a seed stay the same.
type storeRestorer struct {
	injector          *injector
	r                 *rand.Rand
	backup            *emulator.StoreSnapshot
	backupTime        time.Time
	remainingRestores int // how many are still to come
}

func newStoreRestorer(i *injector, seed uint64) *storeRestorer {
	restorer := &storeRestorer{
		injector: i,
		r:        rand.New(rand.NewPCG(seed, 77)),
	}
	if restoresStore(seed) {
		restorer.remainingRestores = 2
	}
	return restorer
}

// restoresStore reports whether a seed's run restores the store. Of those with load every other
// doesn't, since after a restore a revocation can't be checked.
func restoresStore(seed uint64) bool {
	return seed >= firstRestoreSeed && !hasOwnFaults(seed) && !(hasLoad(seed) && seed%2 == 1)
}

// step takes a backup, or restores the store from the previous one if it is recent enough.
func (restorer *storeRestorer) step() {
	if restorer.remainingRestores == 0 {
		return
	}
	i := restorer.injector
	store := i.fleet.deployment.Store
	if restorer.backup == nil || time.Since(restorer.backupTime) > maxBackupAge {
		restorer.backup = store.Snapshot()
		restorer.backupTime = time.Now()
		return
	}
	restorer.remainingRestores--
	i.recordFault("store restored from a backup %s old", time.Since(restorer.backupTime).Round(time.Millisecond))
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	store.SetFault(emulator.StoreReset, 0)
	time.Sleep(time.Duration(restorer.r.Int64N(int64(maxStoreDowntime))))
	store.Restore(restorer.backup)
	store.SetFault(emulator.StoreNoFault, 0)
	restorer.backup = nil
	i.storeFaultTimes = append(i.storeFaultTimes, time.Now())
	restorer.rewriteEntries()
}

// rewriteEntries publishes the last configuration again and lists the servers again.
func (restorer *storeRestorer) rewriteEntries() {
	i := restorer.injector
	time.Sleep(time.Duration(restorer.r.Int64N(int64(maxRewriteDelay))))
	i.republish()
	for _, s := range i.fleet.servers {
		switch {
		case s.leavingSince.IsZero():
			i.fleet.deployment.PutEntryAt(s.Server, s.proxy.Address(), s.service, "ready")
		case s.notice.IsLeaving:
			i.fleet.deployment.PutEntryAt(s.Server, s.proxy.Address(), s.service, "draining")
		default:
			time.AfterFunc(entryLifetime, func() { i.fleet.deployment.RemoveEntry(s.ID) })
		}
	}
}
