package routing

import "slices"

// Regions maps each availability zone to its region.
type Regions struct {
	ofZone map[string]string
}

// NewRegions returns the given mapping of zones to regions.
func NewRegions(ofZone map[string]string) Regions { return Regions{ofZone: ofZone} }

// AllowedRegions are the regions whose endpoints may get a request.
type AllowedRegions struct {
	regions  Regions
	route    []string // allowed by the route; empty for all
	customer []string // allowed by the customer; empty for all
}

// NewAllowedRegions returns the allowed regions for a route and a customer, which may be nil.
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

// IsRestricted reports whether the route or the customer restricts the regions.
func (h AllowedRegions) IsRestricted() bool { return len(h.route) > 0 || len(h.customer) > 0 }

// AllowsZone reports whether a zone's endpoints may get the request. A zone without a known
// region is allowed only if there is no restriction.
func (h AllowedRegions) AllowsZone(zone string) bool {
	region := h.regions.ofZone[zone]
	for _, regionNames := range [][]string{h.route, h.customer} {
		if len(regionNames) > 0 && !slices.Contains(regionNames, region) {
			return false
		}
	}
	return true
}
