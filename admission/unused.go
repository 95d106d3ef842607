package admission

import (
	"slices"
	"time"
)

// unusedTime is how long the load of an endpoint that isn't listed is kept after its last use.
// Messages about an endpoint may arrive before its first listing, and after its last one.
const unusedTime = 30 * time.Second

// DropUnused drops the load of endpoints that isKnown reports not to be listed and that were not
// used for unusedTime. Forget doesn't drop that of an endpoint with running requests, and messages
// of other boxes that arrive after it create the load again.
func (b *Balancer) DropUnused(now time.Time, isKnown func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.droppedUnusedAt) < unusedTime/2 {
		return
	}
	b.droppedUnusedAt = now
	for id, l := range b.loads {
		if l.running <= 0 && l.copyTokens <= 0 && now.Sub(l.usedAt()) >= unusedTime && !isKnown(id) {
			delete(b.loads, id)
		}
	}
	b.spells.dropUnused(now, isKnown)
}

// usedAt returns when this box or another one last used the endpoint, as far as known, or when it
// last reported its load.
func (l *endpointLoad) usedAt() time.Time {
	times := []time.Time{l.lastSendAt, l.activeAt, l.queuedAt, l.reportAt, l.loadReportedAt, l.failedAt}
	if n := len(l.recentChanges); n > 0 {
		times = append(times, l.recentChanges[n-1].at)
	}
	if n := len(l.pacedStreams); n > 0 {
		times = append(times, l.pacedStreams[n-1].since)
	}
	return slices.MaxFunc(times, time.Time.Compare)
}
