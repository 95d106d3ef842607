package admission

import (
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// maxSentRates bounds the priorities whose rates are kept. Configurations have far fewer.
const maxSentRates = 256

// sentKey identifies the requests of a service and a priority.
type sentKey struct {
	service  string
	priority routing.Priority
}

// CountSent counts a request that a box of the group sent to an engine, with the memory of its
// run at the expected end.
func (b *Balancer) CountSent(now time.Time, service string, priority routing.Priority, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := sentKey{
		service:  service,
		priority: priority,
	}
	f := b.sent[key]
	if f == nil {
		b.dropIdleRates(now)
		if len(b.sent) >= maxSentRates {
			return
		}
		f = &flow{}
		b.sent[key] = f
	}
	f.add(now, float64(tokens))
}

// dropIdleRates removes the rates of priorities of which nothing was sent lately.
func (b *Balancer) dropIdleRates(now time.Time) {
	for key, f := range b.sent {
		if f.perSecond(now) < 1 {
			delete(b.sent, key)
		}
	}
}

// SentPerSecond returns the rate, in tokens per second, at which the group lately sent requests
// of a priority or a lower one. What requests of higher priorities take is left out: they will
// take it again before a request of this priority is sent.
func (b *Balancer) SentPerSecond(now time.Time, service string, priority routing.Priority) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0.0
	for key, f := range b.sent {
		if key.service == service && key.priority.Compare(priority) >= 0 {
			sum += f.perSecond(now)
		}
	}
	return sum
}
