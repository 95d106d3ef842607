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

// content gives the digest of what the request asks for, the same for each repeat of it.
func (k *call) content() core.Digest {
	kind := "text"
	if k.p.chat {
		kind = "chat"
	}
	return core.NewDigest([]byte(k.who.Name), []byte(kind), k.p.body)
}

// lookAtEndpoint finds out whether the endpoint of a lost attempt has ended under it. An
// endpoint that is known to leave ends as planned.
func (k *call) lookAtEndpoint() {
	name := k.gen.Origin.Endpoint
	at := k.document.Endpoint(name)
	if at == nil || k.entry.leaves(name) {
		return
	}
	l := loss{
		entry:    k.entry,
		request:  k.name,
		customer: k.who.Name,
		content:  k.content(),
		life:     fmt.Sprintf("%s/%d", name, k.life),
		address:  at.Address,
	}
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		l.look()
	}()
	select {
	case <-looked:
	case <-time.After(engine.CrashProbeWait):
	}
}

// loss is an attempt that was lost with its endpoint's connection.
type loss struct {
	entry    *Entry
	request  string
	customer string
	content  core.Digest
	life     string // of the endpoint
	address  netip.AddrPort
}

// look finds out whether the endpoint has ended. What came from it meanwhile isn't known
// here, beside its own word.
func (l *loss) look() {
	sign, ended := l.entry.presences.Crashed(l.life, l.address, func(time.Time) bool { return false })
	if !ended {
		return
	}
	l.entry.log.Info("endpoint crashed during a request",
		zap.String("request", l.request),
		zap.String("endpoint", l.life),
		zap.String("port", string(sign)),
		zap.Stringer("content", l.content),
		zap.String("customer", l.customer),
	)
	l.entry.quarantine.Crashed(time.Now(), l.content, l.life)
}

// leaves tells whether the platform's list says that an endpoint leaves or is gone.
func (e *Entry) leaves(endpoint string) bool {
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

// quarantined refuses a generation under which endpoints end, whatever was tried before.
// A generation that ends engines was sent on to three, and each of its repeats to three
// more; now three end in all at one box.
func (k *call) quarantined() bool {
	now := time.Now()
	until, held := k.entry.quarantine.QuarantinedUntil(now, k.content())
	if !held {
		return false
	}
	k.step(core.CallerGone{})
	k.problem = refused(http.StatusServiceUnavailable, "endpoints_end", "endpoints end under this request, and it isn't run before the time in Retry-After; change it", until.Sub(now))
	k.problem.Outcome = k.gen.Outcome
	return true
}
