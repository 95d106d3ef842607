package scheduler

import (
	"strconv"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
)

// slotKey returns the map key of one owner slot of an endpoint.
func slotKey(endpoint string, slot int) string { return endpoint + "/" + strconv.Itoa(slot) }

// predecessorTimeout is how long a previous owner must be off the list, without
// unexplained usage of the endpoint, before it counts as dead.
const predecessorTimeout = 5 * time.Minute

// ownerHistory records the current and the previous owner of each owner slot, and
// the list version that each box has adopted.
type ownerHistory struct {
	mu             sync.Mutex
	previous       map[string]string    // previous owner, by slot
	owner          map[string]string    // current owner, by slot
	changedAt      map[string]time.Time // last change of the owner, by slot
	ownerVersion   map[string]uint64    // version of the list that assigned the owner, by slot
	adoptedVersion map[string]uint64    // highest list version adopted, by box
}

func newOwnerHistory() *ownerHistory {
	return &ownerHistory{
		previous:       make(map[string]string),
		owner:          make(map[string]string),
		changedAt:      make(map[string]time.Time),
		ownerVersion:   make(map[string]uint64),
		adoptedVersion: make(map[string]uint64),
	}
}

// listOwners holds the owners under a list, and the owners without this box.
type listOwners struct {
	list              *core.List
	owners            *core.Owners
	ownersWithoutSelf *core.Owners
}

func newListOwners(list *core.List, self string) *listOwners {
	return &listOwners{
		list:              list,
		owners:            core.NewOwners(list),
		ownersWithoutSelf: core.NewOwners(list.Without(self)),
	}
}

// ownerOf records and returns the owner of a slot, and reports whether no other
// box can have owned it before. A starting box assumes that the previous list was
// the same list without itself.
func (o *ownerHistory) ownerOf(now time.Time, s *listOwners, c *config.Endpoint, slot int) (owner string, neverOwned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := slotKey(c.Name, slot)
	owner = s.owners.Of(c.Name, c.Zone, slot)
	previousOwner, known := o.owner[key]
	if known && previousOwner == owner {
		return owner, false
	}
	if !known {
		previousOwner = s.ownersWithoutSelf.Of(c.Name, c.Zone, slot)
	}
	o.owner[key] = owner
	o.previous[key] = previousOwner
	o.changedAt[key] = now
	o.ownerVersion[key] = s.list.Version
	return owner, !known && s.list.Age < youngFleetAge
}

// recordAdoption records that a box has adopted a list version. A final adoption
// covers all later versions, since the box has stopped granting leases.
func (o *ownerHistory) recordAdoption(box string, version uint64, final bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if final {
		version = ^uint64(0)
	}
	o.adoptedVersion[box] = max(o.adoptedVersion[box], version)
}

// predecessorStopped reports whether the previous owner of a slot is known to
// grant no more leases on it.
func (o *ownerHistory) predecessorStopped(now time.Time, list *core.List, endpoint string, slot int, hasUnknownUsage bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := slotKey(endpoint, slot)
	previousOwner := o.previous[key]
	if previousOwner == "" || previousOwner == o.owner[key] || o.adoptedVersion[previousOwner] >= o.ownerVersion[key] {
		return true
	}
	isUnlisted := list.Member(previousOwner) == nil
	return isUnlisted && !hasUnknownUsage && now.Sub(o.changedAt[key]) > predecessorTimeout
}
