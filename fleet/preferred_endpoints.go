package fleet

import (
	"maps"
	"slices"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// preferredCache caches the preferred endpoints, which are needed several times a second but
// change only with the list, the configuration and the group.
type preferredCache struct {
	listRevision routing.Revision
	version      uint64
	group        core.Group
	preferred    map[string]bool
}

// PreferredEndpoints returns the ids of the endpoints that this box's group uses first. The
// result must not be modified. Endpoints of services without engines are preferred by all
// groups: their calls are short and don't need shared placements.
func (p *Peers) PreferredEndpoints(v *View) map[string]bool {
	if v.Table == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &p.lastPreferred
	if m.preferred != nil && m.listRevision == v.ListRevision && m.version == v.ConfigVersion() && slices.Equal(m.group.Members, p.group.Members) {
		return m.preferred
	}
	preferred := make(map[string]bool)
	for _, s := range v.Table.Document().Services {
		if s.Engine == nil {
			for _, e := range v.Serving(s.Name) {
				preferred[e.ID] = true
			}
			continue
		}
		maps.Copy(preferred, p.group.PreferredEndpoints(endpointLocations(v.Serving(s.Name))))
	}
	p.lastPreferred = preferredCache{
		listRevision: v.ListRevision,
		version:      v.ConfigVersion(),
		group:        p.group,
		preferred:    preferred,
	}
	return preferred
}

func endpointLocations(endpoints []routing.Endpoint) []core.EndpointLocation {
	out := make([]core.EndpointLocation, 0, len(endpoints))
	for _, e := range endpoints {
		out = append(out, core.EndpointLocation{
			ID:   e.ID,
			Zone: e.Zone,
		})
	}
	return out
}
