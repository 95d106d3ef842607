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

// crowdedTime is after how long an endpoint that neither takes a connection nor has a closed
// port is asked again, since it may only be crowded.
const crowdedTime = 400 * time.Millisecond

// content gives the digest of what the request asks for, the same for each repeat of it.
func (k *call) content() core.Digest {
	kind := "text"
	if k.p.chat {
		kind = "chat"
	}
	return core.DigestOf([]byte(k.who.Name), []byte(kind), k.p.body)
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
	if answer := l.look(); answer != engine.Refuses && answer != engine.Present {
		go l.lookAgain()
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

// look asks whether the endpoint is there, and takes a closed port for its end.
func (l *loss) look() engine.Presence {
	answer := l.entry.presences.Of(time.Now(), l.life, l.address)
	if answer == engine.Refuses {
		l.ended(answer)
	}
	return answer
}

// lookAgain looks again at one that may only be crowded.
func (l *loss) lookAgain() {
	time.Sleep(crowdedTime)
	if answer := l.look(); answer != engine.Present && answer != engine.Refuses {
		l.ended(answer)
	}
}

func (l *loss) ended(answer engine.Presence) {
	l.entry.log.Info("endpoint ended under a request",
		zap.String("request", l.request),
		zap.String("endpoint", l.life),
		zap.String("port", string(answer)),
		zap.Stringer("content", l.content),
		zap.String("customer", l.customer),
	)
	l.entry.quarantine.Ended(time.Now(), l.content, l.life)
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
	until, held := k.entry.quarantine.Held(now, k.content())
	if !held {
		return false
	}
	k.step(core.CallerGone{})
	k.problem = refused(http.StatusServiceUnavailable, "endpoints_end", "endpoints end under this request, and it isn't run before the time in Retry-After; change it", until.Sub(now))
	k.problem.Outcome = k.gen.Outcome
	return true
}
