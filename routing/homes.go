package routing

import "slices"

// Regions gives the region of each availability zone, as the settings tell them.
type Regions struct {
	ofZone map[string]string
}

// NewRegions takes the zones' regions.
func NewRegions(ofZone map[string]string) Regions { return Regions{ofZone: ofZone} }

// AllowedRegions are the regions whose endpoints may get a request, by its route and its customer.
type AllowedRegions struct {
	regions  Regions
	route    []string
	customer []string
}

// NewAllowedRegions gives the homes of a route's requests from a customer, or from nobody known.
func NewAllowedRegions(regions Regions, r *Route, c *Customer) AllowedRegions {
	h := AllowedRegions{
		regions: regions,
		route:   r.AllowedRegions,
	}
	if c != nil {
		h.customer = c.AllowedRegions
	}
	return h
}

// IsRestricted tells whether there are endpoints that may not get the request.
func (h AllowedRegions) IsRestricted() bool { return len(h.route) > 0 || len(h.customer) > 0 }

// AllowsZone tells whether a zone's endpoints may get the request. A zone whose region nobody
// told is no home.
func (h AllowedRegions) AllowsZone(zone string) bool {
	region := h.regions.ofZone[zone]
	for _, homes := range [][]string{h.route, h.customer} {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}
