package core

import (
	"cmp"
	"slices"
	"time"
)

// ReachabilityRules configure when a box counts as cut off from the endpoints of a service, and
// when it no longer does.
type ReachabilityRules struct {
	MinFailed     int           // endpoints in a row at which sends failed; all, if fewer are listed
	Memory        time.Duration // how long a failed send counts, and a box that was cut off is doubted sooner
	ProbeInterval time.Duration // least time between two probes of a service
	MinProbes     int           // answered probes in a row that end it
}

// DefaultReachabilityRules returns the rules used in production. MinFailed exceeds the endpoints
// that usually crash at the same time, and Memory the pauses between a box's requests. One
// answered probe isn't enough, since a link that loses packets lets single ones pass.
func DefaultReachabilityRules() ReachabilityRules {
	return ReachabilityRules{
		MinFailed:     3,
		Memory:        10 * time.Second,
		ProbeInterval: 500 * time.Millisecond,
		MinProbes:     2,
	}
}

// SendFailure is how a send to an endpoint failed of whose answer no byte was read.
type SendFailure string

// The failures. A silent endpoint may be sound, only slow.
const (
	FailedConnect SendFailure = "connect" // no connection could be opened
	FailedBroken  SendFailure = "broken"  // the connection broke
	FailedSilent  SendFailure = "silent"  // the answer is overdue
)

// ProbeResult is the result of status checks at a sample of a service's endpoints.
type ProbeResult string

// The results. Without an answer, the endpoint that got furthest decides.
const (
	ProbeAnswered    ProbeResult = "answered"    // by at least one endpoint
	ProbeSilent      ProbeResult = "silent"      // a connection took the check, and no answer came
	ProbeBroken      ProbeResult = "broken"      // a connection broke once it had taken the check
	ProbeUnreachable ProbeResult = "unreachable" // no connection could be opened, or stayed open
)

// Reachability tracks whether a box reaches the endpoints of each service. A box can be cut off
// from all of them while callers, the store and other boxes still reach it. An open connection
// shows little: a device on a broken path may accept it, and reset it later or never answer.
//
// Sends that failed at several endpoints while none answered lead to a probe of a sample of the
// endpoints. If all of its connections fail or break, the box is cut off. If some stay silent, the
// endpoints may be slow, so the box is in doubt: it is cut off once another box has served a request
// of it meanwhile.
//
// If no connection can be opened, only further probes end the cut: answers may still arrive over a
// path that works in one direction, or on connections that outlive the path. Otherwise the endpoints
// may be at fault, and an answer ends it too.
type Reachability struct {
	rules    ReachabilityRules
	services map[string]*serviceReach
}

// serviceReach is the state of a service at which sends failed lately.
type serviceReach struct {
	failures   map[string]sendFailure // the last one, by endpoint
	suspected  bool                   // a probe is under way that tells whether the box is cut off
	doubtedAt  time.Time              // zero unless the last probe met silence
	cutOffAt   time.Time              // zero unless the box is cut off
	accepts    bool                   // endpoints accept connections while the box is cut off
	probedAt   time.Time
	probes     int       // answered ones in a row
	returnedAt time.Time // the end of the last cut
}

type sendFailure struct {
	at   time.Time
	kind SendFailure
}

// NewReachability returns a state in which all endpoints are reachable.
func NewReachability(rules ReachabilityRules) *Reachability {
	return &Reachability{
		rules:    rules,
		services: make(map[string]*serviceReach),
	}
}

// RecordFailure records a send that failed, at a service with the given number of listed endpoints.
// It reports whether a probe of the service is needed now, to tell whether the box is cut off.
func (r *Reachability) RecordFailure(now time.Time, service, endpoint string, listed int, kind SendFailure) bool {
	s := r.services[service]
	if s == nil {
		s = &serviceReach{failures: make(map[string]sendFailure)}
		r.services[service] = s
	}
	for id, f := range s.failures {
		if now.Sub(f.at) > r.rules.Memory {
			delete(s.failures, id)
		}
	}
	s.failures[endpoint] = sendFailure{
		at:   now,
		kind: kind,
	}
	needed := min(r.rules.MinFailed, max(listed, 1))
	if r.isRecent(now, s.returnedAt) {
		needed = 1
	}
	if s.suspected || s.isInDoubt() || s.isCutOff() || len(s.failures) < needed || r.isProbed(now, s) {
		return false
	}
	s.suspected = true
	return true
}

// RecordAnswer records that an endpoint answered, which ends all doubt about its service, and
// returns what that changes.
func (r *Reachability) RecordAnswer(now time.Time, service string) ReachabilityChange {
	s := r.services[service]
	switch {
	case s == nil:
		return ReachabilityChange{}
	case !s.isCutOff():
		s.reset()
		if !r.isRecent(now, s.returnedAt) && !r.isProbed(now, s) {
			delete(r.services, service)
		}
		return ReachabilityChange{}
	case s.accepts:
		return s.end(now)
	}
	return ReachabilityChange{}
}

// DueProbes returns the services that are to be probed now, sorted by name: those that the box is
// cut off from, or in doubt about.
func (r *Reachability) DueProbes(now time.Time) []string {
	var due []string
	for name, s := range r.services {
		if s.isInDoubt() && !r.isRecent(now, s.doubtedAt) {
			s.reset()
		}
		if (s.isCutOff() || s.isInDoubt()) && !r.isProbed(now, s) {
			s.probedAt = now
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// ReachabilityChange is what a probe or an answer changed.
type ReachabilityChange struct {
	IsCutOff  bool          // the box is cut off from now on
	IsInDoubt bool          // the box is in doubt from now on
	Lasted    time.Duration // how long it was cut off if that ends, or else 0
}

// RecordProbe records the result of a probe of a service.
func (r *Reachability) RecordProbe(now time.Time, service string, result ProbeResult) ReachabilityChange {
	s := r.services[service]
	switch {
	case s == nil:
		return ReachabilityChange{}
	case s.isCutOff():
		return r.recordFurtherProbe(now, s, result)
	case !s.suspected && !s.isInDoubt():
		return ReachabilityChange{} // an endpoint answered meanwhile
	}
	s.suspected = false
	s.probedAt = now
	switch {
	case result == ProbeAnswered:
		s.reset()
	case result != ProbeSilent:
		return s.cutOff(now, result == ProbeBroken)
	case !s.isInDoubt():
		s.doubtedAt = now
		return ReachabilityChange{IsInDoubt: true}
	}
	return ReachabilityChange{}
}

func (r *Reachability) recordFurtherProbe(now time.Time, s *serviceReach, result ProbeResult) ReachabilityChange {
	s.probes++
	if result != ProbeAnswered {
		s.probes = 0
	}
	if s.probes < r.rules.MinProbes {
		return ReachabilityChange{}
	}
	return s.end(now)
}

// RecordServedElsewhere records that another box served a request that this box forwarded to it at
// the given time. That shows a box in doubt since before then that it is cut off.
func (r *Reachability) RecordServedElsewhere(now time.Time, service string, forwardedAt time.Time) ReachabilityChange {
	s := r.services[service]
	if s == nil || s.isCutOff() || !s.isInDoubt() || forwardedAt.Before(s.doubtedAt) {
		return ReachabilityChange{}
	}
	return s.cutOff(now, true)
}

func (s *serviceReach) isCutOff() bool { return !s.cutOffAt.IsZero() }

func (s *serviceReach) isInDoubt() bool { return !s.doubtedAt.IsZero() }

func (s *serviceReach) cutOff(now time.Time, accepts bool) ReachabilityChange {
	s.cutOffAt = now
	s.accepts = accepts
	s.doubtedAt = time.Time{}
	s.probes = 0
	return ReachabilityChange{IsCutOff: true}
}

// end ends the cut.
func (s *serviceReach) end(now time.Time) ReachabilityChange {
	lasted := max(now.Sub(s.cutOffAt), 1)
	s.reset()
	s.cutOffAt = time.Time{}
	s.returnedAt = now
	s.probedAt = time.Time{}
	return ReachabilityChange{Lasted: lasted}
}

// reset ends all doubt.
func (s *serviceReach) reset() {
	clear(s.failures)
	s.suspected = false
	s.doubtedAt = time.Time{}
}

// isRecent reports whether a time is set and not longer ago than failures are remembered.
func (r *Reachability) isRecent(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= r.rules.Memory
}

// isProbed reports whether the last probe is too recent for another one.
func (r *Reachability) isProbed(now time.Time, s *serviceReach) bool {
	return now.Sub(s.probedAt) < r.rules.ProbeInterval
}

// IsCutOff reports whether the box is cut off from a service's endpoints.
func (r *Reachability) IsCutOff(service string) bool { return r.CutOffFor(time.Time{}, service) != 0 }

// CutOffFor returns how long the box has been cut off from a service's endpoints. It is 0 only if
// the box isn't.
func (r *Reachability) CutOffFor(now time.Time, service string) time.Duration {
	s := r.services[service]
	if s == nil || !s.isCutOff() {
		return 0
	}
	return max(now.Sub(s.cutOffAt), 1)
}

// IsInDoubt reports whether a service's endpoints accept connections from the box and don't answer,
// and it isn't known yet whether others do better.
func (r *Reachability) IsInDoubt(service string) bool {
	s := r.services[service]
	return s != nil && s.isInDoubt()
}

// AcceptsConnections reports whether a service's endpoints accept connections of the box though it
// is cut off from them, so that they may be at fault and answer later requests.
func (r *Reachability) AcceptsConnections(service string) bool {
	s := r.services[service]
	return s != nil && s.isCutOff() && s.accepts
}

// IsSuspect reports whether sends to several endpoints of a service failed other than by silence and
// none answered since, so that the failures may be those of the path and not of the endpoints.
func (r *Reachability) IsSuspect(service string) bool {
	s := r.services[service]
	if s == nil {
		return false
	}
	failed := 0
	for _, f := range s.failures {
		if f.kind != FailedSilent {
			failed++
		}
	}
	return failed > 1 || s.isCutOff()
}

// UnreachableService is a service whose endpoints the box can't reach.
type UnreachableService struct {
	Service   string
	Since     time.Time
	Endpoints []string // those at which sends failed lately, sorted
}

// Unreachable returns the services that the box is cut off from, sorted by name.
func (r *Reachability) Unreachable() []UnreachableService {
	var all []UnreachableService
	for name, s := range r.services {
		if !s.isCutOff() {
			continue
		}
		u := UnreachableService{
			Service: name,
			Since:   s.cutOffAt,
		}
		for id := range s.failures {
			u.Endpoints = append(u.Endpoints, id)
		}
		slices.Sort(u.Endpoints)
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b UnreachableService) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
