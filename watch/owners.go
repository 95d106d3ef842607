package watch

import (
	"sync"

	"dillsaddle.example/dillsaddle/core"
)

// Owners remembers the owners of endpoints' halves under one list, since each is
// worked out over all boxes.
type Owners struct {
	mu   sync.Mutex
	list *core.List
	by   map[string][core.SlotCount]string
}

// Of gives the owner of a half under a list.
func (o *Owners) Of(list *core.List, endpoint string, slot int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.list != list {
		o.list = list
		o.by = make(map[string][core.SlotCount]string)
	}
	owners, known := o.by[endpoint]
	if !known {
		for s := range owners {
			owners[s] = list.Owner(endpoint, s)
		}
		o.by[endpoint] = owners
	}
	return owners[slot]
}
