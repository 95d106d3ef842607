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

// goneAfter is how long a predecessor must be off the list, with no use of the
// endpoint that this owner can't explain, until it counts as dead.
const goneAfter = 5 * time.Minute

// ownership remembers who owned which half before, and what is known of it.
type ownership struct {
	mu      sync.Mutex
	before  map[string]string // by half: the owner before the present one
	owner   map[string]string
	since   map[string]time.Time
	version map[string]uint64 // by half: the list that made the owner
	adopted map[string]uint64 // by box: the list that it told to have adopted
}

func newOwnership() *ownership {
	return &ownership{
		before:  make(map[string]string),
		owner:   make(map[string]string),
		since:   make(map[string]time.Time),
		version: make(map[string]uint64),
		adopted: make(map[string]uint64),
	}
}

// succession is a list with its owners, and those without this box.
type succession struct {
	list    *core.List
	owners  *core.Owners
	without *core.Owners
}

func newSuccession(list *core.List, self string) *succession {
	return &succession{
		list:    list,
		owners:  core.NewOwners(list),
		without: core.NewOwners(list.Without(self)),
	}
}

// of gives the owner of a half, and whether nobody can have owned it before. A
// box that starts takes the list without itself as the one before.
func (o *ownership) of(now time.Time, s *succession, c *config.Endpoint, slot int) (owner string, fresh bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := slotKey(c.Name, slot)
	owner = s.owners.Of(c.Name, c.Zone, slot)
	last, known := o.owner[key]
	if known && last == owner {
		return owner, false
	}
	if !known {
		last = s.without.Of(c.Name, c.Zone, slot)
	}
	o.owner[key] = owner
	o.before[key] = last
	o.since[key] = now
	o.version[key] = s.list.Version
	return owner, !known && s.list.Age < youngFleet
}

// told notes that a box has adopted a list.
func (o *ownership) told(box string, version uint64, final bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if final {
		version = ^uint64(0)
	}
	o.adopted[box] = max(o.adopted[box], version)
}

// gone reports whether the owner of a half before the present one is known to
// grant nothing more.
func (o *ownership) gone(now time.Time, list *core.List, endpoint string, slot int, foreign bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := slotKey(endpoint, slot)
	last := o.before[key]
	if last == "" || last == o.owner[key] || o.adopted[last] >= o.version[key] {
		return true
	}
	unlisted := list.Member(last) == nil
	return unlisted && !foreign && now.Sub(o.since[key]) > goneAfter
}
