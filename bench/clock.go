package bench

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events struct {
	items []event
	count int
}

func (q *events) Len() int { return len(q.items) }

func (q *events) Less(i, j int) bool {
	if q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].order < q.items[j].order
	}
	return q.items[i].at.Before(q.items[j].at)
}

func (q *events) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

func (q *events) Push(x any) { q.items = append(q.items, x.(event)) }

func (q *events) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func (n *run) after(d time.Duration, do func()) {
	n.queue.count++
	heap.Push(&n.queue, event{
		at:    n.now.Add(d),
		order: n.queue.count,
		do:    do,
	})
}
