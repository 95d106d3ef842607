package scheduler

import (
	"strconv"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
)

// slotKey names one half of an endpoint.
func slotKey(endpoint string, slot int) string { return endpoint + "/" + strconv.Itoa(slot) }

// predecessorTimeout is how long a predecessor must be off the list, with no use of the
// endpoint that this owner can't explain, until it counts as dead.
const predecessorTimeout = 5 * time.Minute

// ownerHistory remembers who owned which half before, and what is known of it.
type ownerHistory struct {
	mu             sync.Mutex
	previous       map[string]string // by half: the owner before the present one
	owner          map[string]string
	since          map[string]time.Time
	ownerVersion   map[string]uint64 // by half: the list that made the owner
	adoptedVersion map[string]uint64 // by box: the list that it told to have adopted
}

func newOwnerHistory() *ownerHistory {
	return &ownerHistory{
		previous:       make(map[string]string),
		owner:          make(map[string]string),
		since:          make(map[string]time.Time),
		ownerVersion:   make(map[string]uint64),
		adoptedVersion: make(map[string]uint64),
	}
}

// listOwners is a list with its owners, and those without this box.
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

// ownerOf gives the owner of a half, and whether nobody can have owned it before. A
// box that starts takes the list without itself as the one before.
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
	o.since[key] = now
	o.ownerVersion[key] = s.list.Version
	return owner, !known && s.list.Age < youngFleetAge
}

// recordAdoption notes that a box has adopted a list.
func (o *ownerHistory) recordAdoption(box string, version uint64, final bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if final {
		version = ^uint64(0)
	}
	o.adoptedVersion[box] = max(o.adoptedVersion[box], version)
}

// predecessorStopped reports whether the owner of a half before the present one is known to
// grant nothing more.
func (o *ownerHistory) predecessorStopped(now time.Time, list *core.List, endpoint string, slot int, hasUnknownUsage bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := slotKey(endpoint, slot)
	previousOwner := o.previous[key]
	if previousOwner == "" || previousOwner == o.owner[key] || o.adoptedVersion[previousOwner] >= o.ownerVersion[key] {
		return true
	}
	isUnlisted := list.Member(previousOwner) == nil
	return isUnlisted && !hasUnknownUsage && now.Sub(o.since[key]) > predecessorTimeout
}
