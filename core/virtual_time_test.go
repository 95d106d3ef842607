package core_test

import (
	"container/heap"
	"time"
)

type timedEvent struct {
	at     time.Time
	number int
	action func()
}

type eventQueue struct {
	events []timedEvent
	number int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at.Before(b.at) || (a.at.Equal(b.at) && a.number < b.number)
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(e any)    { q.events = append(q.events, e.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// virtualTime calls functions in the order of their times.
type virtualTime struct {
	now   time.Time
	queue eventQueue
}

func (v *virtualTime) at(at time.Time, action func()) {
	v.queue.number++
	heap.Push(&v.queue, timedEvent{
		at:     at,
		number: v.queue.number,
		action: action,
	})
}

func (v *virtualTime) after(d time.Duration, action func()) { v.at(v.now.Add(d), action) }

// runUntil calls the functions up to a time.
func (v *virtualTime) runUntil(end time.Time) {
	for v.queue.Len() > 0 {
		e := heap.Pop(&v.queue).(timedEvent)
		if e.at.After(end) {
			return
		}
		v.now = e.at
		e.action()
	}
}
