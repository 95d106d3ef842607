package fleet

import (
	"maps"
	"slices"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/routing"
)

// shareMemo keeps the last share: it is asked for some times a second, and
// changes with the list, the configuration and the group only.
type shareMemo struct {
	changed routing.Revision
	version uint64
	group   core.Group
	share   map[string]bool
}

// PreferredEndpoints gives the endpoints that this box's group uses first, by id; it must
// not be changed. Plain services are not divided: their calls are short and
// need no news of placements.
func (p *Peers) PreferredEndpoints(v *View) map[string]bool {
	if v.Table == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &p.memo
	if m.share != nil && m.changed == v.ListRevision && m.version == v.ConfigVersion() && slices.Equal(m.group.Members, p.group.Members) {
		return m.share
	}
	share := make(map[string]bool)
	for _, s := range v.Table.Document().Services {
		if s.Engine == nil {
			for _, e := range v.Serving(s.Name) {
				share[e.ID] = true
			}
			continue
		}
		maps.Copy(share, p.group.PreferredEndpoints(sites(v.Serving(s.Name))))
	}
	p.memo = shareMemo{
		changed: v.ListRevision,
		version: v.ConfigVersion(),
		group:   p.group,
		share:   share,
	}
	return share
}

func sites(endpoints []routing.Endpoint) []core.EndpointLocation {
	out := make([]core.EndpointLocation, 0, len(endpoints))
	for _, e := range endpoints {
		out = append(out, core.EndpointLocation{
			ID:   e.ID,
			Zone: e.Zone,
		})
	}
	return out
}
