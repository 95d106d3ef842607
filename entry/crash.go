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

// contentDigest gives the digest of what the request asks for, the same for each repeat of it.
func (k *call) contentDigest() core.Digest {
	kind := "text"
	if k.p.chat {
		kind = "chat"
	}
	return core.NewDigest([]byte(k.customerConfig.Name), []byte(kind), k.p.body)
}

// detectEndpointCrash finds out whether the endpoint of a lost attempt has ended under it. An
// endpoint that is known to leave ends as planned.
func (k *call) detectEndpointCrash() {
	name := k.gen.Origin.Endpoint
	at := k.document.Endpoint(name)
	if at == nil || k.entry.isLeaving(name) {
		return
	}
	l := lostAttempt{
		entry:         k.entry,
		request:       k.name,
		customer:      k.customerConfig.Name,
		contentDigest: k.contentDigest(),
		incarnation:   fmt.Sprintf("%s/%d", name, k.incarnation),
		address:       at.Address,
	}
	detected := make(chan struct{})
	go func() {
		defer close(detected)
		l.detectCrash()
	}()
	select {
	case <-detected:
	case <-time.After(engine.EndPatience):
	}
}

// lostAttempt is an attempt that was lost with its endpoint's connection.
type lostAttempt struct {
	entry         *Entry
	request       string
	customer      string
	contentDigest core.Digest
	incarnation   string // of the endpoint
	address       netip.AddrPort
}

// detectCrash finds out whether the endpoint has ended. What came from it meanwhile isn't known
// here, beside its own word.
func (l *lostAttempt) detectCrash() {
	sign, crashed := l.entry.presences.Crashed(l.incarnation, l.address, func(time.Time) bool { return false })
	if !crashed {
		return
	}
	l.entry.log.Info("endpoint crashed during a request",
		zap.String("request", l.request),
		zap.String("endpoint", l.incarnation),
		zap.String("port", string(sign)),
		zap.Stringer("content", l.contentDigest),
		zap.String("customer", l.customer),
	)
	l.entry.quarantine.Crashed(time.Now(), l.contentDigest, l.incarnation)
}

// isLeaving tells whether the platform's list says that an endpoint leaves or is gone.
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

// refuseQuarantined refuses a generation under which endpoints end, whatever was tried before.
// A generation that ends engines was sent on to three, and each of its repeats to three
// more; now three end in all at one box.
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
