package watch

import (
	"sync"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
)

// Owners caches the owners of endpoints' slots under one list and configuration,
// since computing an owner takes a pass over all boxes.
type Owners struct {
	mu       sync.Mutex
	list     *core.List
	document *config.Document
	owners   *core.Owners
	cache    map[string][core.SlotCount]string
}

// Of returns the name of the box that owns a slot of an endpoint.
func (o *Owners) Of(v View, endpoint string, slot int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.list != v.List || o.document != v.Document {
		o.list, o.document = v.List, v.Document
		o.owners = core.NewOwners(v.List)
		o.cache = make(map[string][core.SlotCount]string)
	}
	owners, cached := o.cache[endpoint]
	if !cached {
		zone := ""
		if c := v.Document.Endpoint(endpoint); c != nil {
			zone = c.Zone
		}
		for s := range owners {
			owners[s] = o.owners.Of(endpoint, zone, s)
		}
		o.cache[endpoint] = owners
	}
	return owners[slot]
}
