package scheduler

import (
	"slices"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/watch"
)

// EndpointKey is what an endpoint's owner is computed from.
func EndpointKey(endpoint string) string { return "endpoint/" + endpoint }

// Owner gives the box that owns an endpoint: the highest by rendezvous of those
// that are neither suspected nor retired.
func Owner(list *core.List, endpoint string, without []string) string {
	owner := list.Home(EndpointKey(endpoint), func(box string) bool { return slices.Contains(without, box) })
	if owner == "" {
		return list.Home(EndpointKey(endpoint), nil)
	}
	return owner
}

// ownership remembers who owned what, to tell a planned change from another.
type ownership struct {
	mu      sync.Mutex
	last    map[string]string
	retired map[string]bool
	began   time.Time
}

func newOwnership() *ownership {
	return &ownership{
		last:    make(map[string]string),
		retired: make(map[string]bool),
		began:   time.Now(),
	}
}

// of gives the owner and whether the change to it is planned: the one before
// retired, or the fleet is too young for there to have been one.
func (o *ownership) of(v watch.View, endpoint, self string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	without := slices.Clone(v.Suspected)
	for box := range o.retired {
		without = append(without, box)
	}
	without = slices.DeleteFunc(without, func(box string) bool { return box == self })
	owner := Owner(v.List, endpoint, without)
	before, known := o.last[endpoint]
	o.last[endpoint] = owner
	if !known {
		return owner, v.List.Age < youngFleet
	}
	return owner, o.retired[before]
}

func (o *ownership) retire(box string, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if gone {
		o.retired[box] = true
		return
	}
	delete(o.retired, box)
}
