package admission

import (
	"cmp"
	"slices"
	"time"
)

// Request is one request that wants a place.
type Request struct {
	ID           string
	Customer     string
	Class        string
	Tier         string
	Rank         int
	Weight       float64
	Risk         float64
	PromptTokens int
	MaxTokens    int
	Prefix       uint64
	ArrivedAt    time.Time
	Avoid        string
	order        float64
}

func (r *Request) key() LengthKey {
	return LengthKey{
		Customer: r.Customer,
		Class:    r.Class,
	}
}

// queue holds waiting requests: first by order, then by the tokens their
// customer was served for its weight, then by arrival.
type queue struct {
	byCustomer map[string][]*Request
	served     map[string]float64
	length     int
}

func newQueue() queue {
	return queue{
		byCustomer: make(map[string][]*Request),
		served:     make(map[string]float64),
	}
}

// returnCredit is how many tokens, for its weight, a customer that returns after a
// pause may be behind those who wait: it goes first, but not for as long as it was
// away.
const returnCredit = 4000

// push adds a request at its place within its customer's line.
func (q *queue) push(r *Request) {
	line := q.byCustomer[r.Customer]
	if len(line) == 0 {
		q.served[r.Customer] = max(q.served[r.Customer], q.leastServed(r.Rank)-returnCredit)
	}
	at := len(line)
	for at > 0 && line[at-1].order > r.order {
		at--
	}
	q.byCustomer[r.Customer] = slices.Insert(line, at, r)
	q.length++
}

// leastServed is the lowest served count of those of a rank who wait.
func (q *queue) leastServed(rank int) float64 {
	least, found := 0.0, false
	for customer, line := range q.byCustomer {
		if len(line) == 0 || line[0].Rank != rank {
			continue
		}
		if !found || q.served[customer] < least {
			least, found = q.served[customer], true
		}
	}
	return least
}

// heads gives the first request of each customer, best first.
func (q *queue) heads() []*Request {
	heads := make([]*Request, 0, len(q.byCustomer))
	for _, line := range q.byCustomer {
		heads = append(heads, line[0])
	}
	slices.SortFunc(heads, func(a, b *Request) int {
		return cmp.Or(
			cmp.Compare(a.order, b.order),
			cmp.Compare(q.served[a.Customer], q.served[b.Customer]),
			a.ArrivedAt.Compare(b.ArrivedAt),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return heads
}

func (q *queue) remove(id, customer string) *Request {
	line := q.byCustomer[customer]
	at := slices.IndexFunc(line, func(r *Request) bool { return r.ID == id })
	if at < 0 {
		return nil
	}
	r := line[at]
	line = slices.Delete(line, at, at+1)
	q.length--
	if len(line) == 0 {
		delete(q.byCustomer, customer)
		return r
	}
	q.byCustomer[customer] = line
	return r
}

// addServed counts tokens served to a customer for its weight.
func (q *queue) addServed(customer string, tokens, weight float64) {
	q.served[customer] += tokens / max(weight, 0.01)
}

// ahead counts the waiting requests that go before an order.
func (q *queue) ahead(order float64) int {
	n := 0
	for _, line := range q.byCustomer {
		for _, r := range line {
			if r.order > order {
				break
			}
			n++
		}
	}
	return n
}

func (q *queue) waitingOf(customer string) int { return len(q.byCustomer[customer]) }

// bestRank gives the best rank that waits.
func (q *queue) bestRank() int {
	minRank, found := 0, false
	for _, line := range q.byCustomer {
		for _, r := range line {
			if !found || r.Rank < minRank {
				minRank, found = r.Rank, true
			}
		}
	}
	return minRank
}
