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
	a := AllowedRegions{
		regions: regions,
		route:   r.AllowedRegions,
	}
	if c != nil {
		a.customer = c.AllowedRegions
	}
	return a
}

// IsRestricted reports whether the route or the customer restricts the regions.
func (a AllowedRegions) IsRestricted() bool { return len(a.route) > 0 || len(a.customer) > 0 }

// AllowsZone reports whether a zone's endpoints may get the request. A zone without a known
// region is allowed only if there is no restriction.
func (a AllowedRegions) AllowsZone(zone string) bool {
	region := a.regions.ofZone[zone]
	for _, regionNames := range [][]string{a.route, a.customer} {
		if len(regionNames) > 0 && !slices.Contains(regionNames, region) {
			return false
		}
	}
	return true
}
