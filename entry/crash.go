package entry

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
)

// contentDigest returns the digest of the request's content, which is equal for all repeats.
func (k *call) contentDigest() core.Digest {
	kind := "text"
	if k.parsed.isChat {
		kind = "chat"
	}
	return core.NewDigest([]byte(k.customerConfig.Name), []byte(kind), k.parsed.body)
}

// detectEndpointCrash checks whether the endpoint of a lost attempt has crashed. It skips
// endpoints that are leaving, whose exit is planned.
func (k *call) detectEndpointCrash() {
	name := k.gen.Origin.Endpoint
	settings := k.document.Endpoint(name)
	if settings == nil || k.entry.isLeaving(name) {
		return
	}
	l := lostAttempt{
		entry:         k.entry,
		request:       k.name,
		customer:      k.customerConfig.Name,
		contentDigest: k.contentDigest(),
		incarnation:   fmt.Sprintf("%s/%d", name, k.incarnation),
		address:       settings.Address,
	}
	detected := make(chan struct{})
	go func() {
		defer close(detected)
		l.detectCrash()
	}()
	select {
	case <-detected:
	case <-time.After(engine.CrashProbeWait):
	}
}

// lostAttempt is an attempt whose connection to the endpoint was lost.
type lostAttempt struct {
	entry         *Entry
	request       string
	customer      string
	contentDigest core.Digest
	incarnation   string // endpoint name and incarnation
	address       netip.AddrPort
}

// detectCrash checks whether the endpoint has crashed and, if so, records it for quarantine.
// The entry doesn't track when an endpoint was last active, so heardSince is always false.
func (l *lostAttempt) detectCrash() {
	portState, crashed := l.entry.crashProber.Crashed(l.incarnation, l.address, func(time.Time) bool { return false })
	if !crashed {
		return
	}
	l.entry.log.Info("endpoint crashed during a request",
		zap.String("request", l.request),
		zap.String("endpoint", l.incarnation),
		zap.String("port", string(portState)),
		zap.Stringer("content", l.contentDigest),
		zap.String("customer", l.customer),
	)
	l.entry.quarantine.Crashed(time.Now(), l.contentDigest, l.incarnation)
}

// isLeaving reports whether the platform's list has the endpoint as leaving or not at all.
func (e *Entry) isLeaving(endpoint string) bool {
	list := e.state.View().List
	if list == nil {
		return false
	}
	for _, s := range list.Endpoints {
		if s.Name == endpoint {
			return s.Leaving
		}
	}
	return true
}

// refuseQuarantined refuses a request that is quarantined because endpoints crashed while
// running it. It reports whether it did. Without the quarantine, each repeat of such a
// request could crash as many endpoints as it has attempts.
func (k *call) refuseQuarantined() bool {
	now := time.Now()
	until, quarantined := k.entry.quarantine.QuarantinedUntil(now, k.contentDigest())
	if !quarantined {
		return false
	}
	k.step(core.CallerGone{})
	k.problem = newRefusal(http.StatusServiceUnavailable, "endpoints_end", "endpoints end under this request, and it isn't run before the time in Retry-After; change it", until.Sub(now))
	k.problem.Outcome = k.gen.Outcome
	return true
}
