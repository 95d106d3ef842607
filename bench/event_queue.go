package bench

import (
	"container/heap"
	"time"
)

// event is an action scheduled for a point in virtual time. Events of the same time run in
// the order in which they were scheduled.
type event struct {
	at     time.Time
	order  int
	action func()
}

// eventQueue is a heap of events, ordered by time; it implements heap.Interface.
type eventQueue struct {
	items     []event
	lastOrder int
}

func (q *eventQueue) Len() int { return len(q.items) }

func (q *eventQueue) Less(i, j int) bool {
	if q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].order < q.items[j].order
	}
	return q.items[i].at.Before(q.items[j].at)
}

func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

func (q *eventQueue) Push(x any) { q.items = append(q.items, x.(event)) }

func (q *eventQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

// schedule runs an action after a virtual time.
func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.queue.lastOrder++
	heap.Push(&sim.queue, event{
		at:     sim.now.Add(d),
		order:  sim.queue.lastOrder,
		action: action,
	})
}
