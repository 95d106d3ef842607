package admission

import (
	"cmp"
	"slices"
	"time"
)

// Request is a request for a generation.
type Request struct {
	ID           string
	Customer     string
	Class        string
	Tier         string
	Rank         int     // of the tier; 0 is the most urgent
	Weight       float64 // the customer's weight in fair queueing
	Risk         float64 // accepted probability that the planned memory is exceeded
	PromptTokens int
	MaxTokens    int
	Prefix       uint64 // hash of the prompt's prefix; 0 for none
	ArrivedAt    time.Time
	Avoid        string  // endpoint to use only if there is no other
	order        float64 // sort key in the queue; lower runs first
}

func (r *Request) key() LengthKey {
	return LengthKey{
		Customer: r.Customer,
		Class:    r.Class,
	}
}

// queue holds the waiting requests. They are sorted by order, then by the tokens served to
// their customer relative to its weight, then by arrival.
type queue struct {
	byCustomer map[string][]*Request
	served     map[string]float64 // weighted tokens, by customer
	length     int
}

func newQueue() queue {
	return queue{
		byCustomer: make(map[string][]*Request),
		served:     make(map[string]float64),
	}
}

// returnCredit limits how far a customer that was idle may be behind the waiting ones, in
// weighted tokens. It is served first for a while, but not for the whole time it was idle.
const returnCredit = 4000

// push inserts a request at its position in its customer's queue.
func (q *queue) push(r *Request) {
	requests := q.byCustomer[r.Customer]
	if len(requests) == 0 {
		q.served[r.Customer] = max(q.served[r.Customer], q.leastServed(r.Rank)-returnCredit)
	}
	at := len(requests)
	for at > 0 && requests[at-1].order > r.order {
		at--
	}
	q.byCustomer[r.Customer] = slices.Insert(requests, at, r)
	q.length++
}

// leastServed returns the lowest served count of the customers that wait at a rank.
func (q *queue) leastServed(rank int) float64 {
	least, found := 0.0, false
	for customer, requests := range q.byCustomer {
		if len(requests) == 0 || requests[0].Rank != rank {
			continue
		}
		if !found || q.served[customer] < least {
			least, found = q.served[customer], true
		}
	}
	return least
}

// heads returns the first request of each customer, sorted.
func (q *queue) heads() []*Request {
	heads := make([]*Request, 0, len(q.byCustomer))
	for _, requests := range q.byCustomer {
		heads = append(heads, requests[0])
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

// remove removes a request and returns it, or nil if it isn't waiting.
func (q *queue) remove(id, customer string) *Request {
	requests := q.byCustomer[customer]
	at := slices.IndexFunc(requests, func(r *Request) bool { return r.ID == id })
	if at < 0 {
		return nil
	}
	r := requests[at]
	requests = slices.Delete(requests, at, at+1)
	q.length--
	if len(requests) == 0 {
		delete(q.byCustomer, customer)
		return r
	}
	q.byCustomer[customer] = requests
	return r
}

// addServed counts tokens served to a customer, divided by its weight.
func (q *queue) addServed(customer string, tokens, weight float64) {
	q.served[customer] += tokens / max(weight, 0.01)
}

// ahead returns the number of waiting requests up to and including an order.
func (q *queue) ahead(order float64) int {
	n := 0
	for _, requests := range q.byCustomer {
		for _, r := range requests {
			if r.order > order {
				break
			}
			n++
		}
	}
	return n
}

// waitingOf returns the number of waiting requests of a customer.
func (q *queue) waitingOf(customer string) int { return len(q.byCustomer[customer]) }

// bestRank returns the most urgent rank that has waiting requests.
func (q *queue) bestRank() int {
	minRank, found := 0, false
	for _, requests := range q.byCustomer {
		for _, r := range requests {
			if !found || r.Rank < minRank {
				minRank, found = r.Rank, true
			}
		}
	}
	return minRank
}
