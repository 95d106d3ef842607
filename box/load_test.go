package box_test

import (
	"fmt"
	"sync"
	"time"
)

// runLoad calls all boxes from concurrent callers for a time and counts answers by status.
func runLoad(boxes []*testBox, duration time.Duration) map[int]int {
	const (
		callers = 10 // per box
		pause   = 20 * time.Millisecond
	)
	var mu sync.Mutex
	var wait sync.WaitGroup
	got := make(map[int]int)
	until := time.Now().Add(duration)
	for i, b := range boxes {
		for j := range callers {
			wait.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					o := b.call(fmt.Sprintf("c%d-%d-%d-%d", i, j, n, until.UnixNano()))
					mu.Lock()
					got[o.Status]++
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	wait.Wait()
	return got
}
