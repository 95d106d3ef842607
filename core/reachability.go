package core

import (
	"cmp"
	"slices"
	"time"
)

// ReachabilityRules configure when a box counts as cut off from the endpoints of a service.
type ReachabilityRules struct {
	MinFailed int           // endpoints in a row that can't be connected to; all, if fewer are listed
	Memory    time.Duration // how long a failed connection attempt counts
}

// DefaultReachabilityRules returns the rules used in production. MinFailed exceeds the endpoints
// that usually crash at the same time, and Memory the pauses between a box's requests.
func DefaultReachabilityRules() ReachabilityRules {
	return ReachabilityRules{
		MinFailed: 3,
		Memory:    10 * time.Second,
	}
}

// Reachability tracks whether a box reaches the endpoints of each service. A box can be cut off
// from all of them while callers, the store and other boxes still reach it.
//
// A box is cut off from a service when connections to several of its endpoints failed and no
// endpoint answered meanwhile. Failures of few endpoints are their own.
type Reachability struct {
	rules    ReachabilityRules
	services map[string]*serviceReach
}

// serviceReach is the state of a service's endpoints.
type serviceReach struct {
	failedAt map[string]time.Time // last failed attempt, by endpoint that has not answered since
	cutOffAt time.Time            // zero unless the box is cut off
}

// NewReachability returns a state in which all endpoints are reachable.
func NewReachability(rules ReachabilityRules) *Reachability {
	return &Reachability{
		rules:    rules,
		services: make(map[string]*serviceReach),
	}
}

// RecordFailure records a connection attempt that failed, at a service with the given number of
// listed endpoints. It reports whether the box counts as cut off from now on.
func (r *Reachability) RecordFailure(now time.Time, service, endpoint string, listed int) bool {
	s := r.services[service]
	if s == nil {
		s = &serviceReach{failedAt: make(map[string]time.Time)}
		r.services[service] = s
	}
	for id, at := range s.failedAt {
		if now.Sub(at) > r.rules.Memory {
			delete(s.failedAt, id)
		}
	}
	s.failedAt[endpoint] = now
	if !s.cutOffAt.IsZero() || len(s.failedAt) < min(r.rules.MinFailed, max(listed, 1)) {
		return false
	}
	s.cutOffAt = now
	return true
}

// RecordAnswer records that an endpoint was connected to or answered. It reports how long the box
// had been cut off from the service if that ends with it, or else 0.
func (r *Reachability) RecordAnswer(now time.Time, service string) time.Duration {
	s := r.services[service]
	if s == nil {
		return 0
	}
	delete(r.services, service)
	if s.cutOffAt.IsZero() {
		return 0
	}
	return max(now.Sub(s.cutOffAt), 1)
}

// IsCutOff reports whether the box is cut off from a service's endpoints.
func (r *Reachability) IsCutOff(service string) bool {
	s := r.services[service]
	return s != nil && !s.cutOffAt.IsZero()
}

// UnreachableService is a service whose endpoints the box can't reach.
type UnreachableService struct {
	Service   string
	Since     time.Time
	Endpoints []string // those whose last connection attempt failed, sorted
}

// Unreachable returns the services that the box is cut off from, sorted by name.
func (r *Reachability) Unreachable() []UnreachableService {
	var all []UnreachableService
	for name, s := range r.services {
		if s.cutOffAt.IsZero() {
			continue
		}
		u := UnreachableService{
			Service: name,
			Since:   s.cutOffAt,
		}
		for id := range s.failedAt {
			u.Endpoints = append(u.Endpoints, id)
		}
		slices.Sort(u.Endpoints)
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b UnreachableService) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
