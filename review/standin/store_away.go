package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// the routes' paths
const (
	askPath   = "/ask/"
	addedPath = "/added/"
)

// storeAway: the store is silent for 4.5 s, once. The servers' entries lapse meanwhile, after
// three check-ins of silence, and are back, unchanged, within 1.2 s of its return. All boxes
// and servers run, serve and reach the store all the time.
func storeAway(h *harness) (int, error) {
	const (
		boxes, engines = 3, 3
		prompt, events = 300, 20
		perSecond      = 10
		awayFor        = 4500 * time.Millisecond
		silence        = 3 * 1200 * time.Millisecond // three check-ins
		checkIn        = 1200 * time.Millisecond
	)
	zones := []string{"z-a", "z-b", "z-c"}
	h.configure(7, 39000, 34459, askPath)
	id := func(i int) string { return fmt.Sprintf("i-%04d", i+1) }
	list := func(i int) { h.listEngine(id(i), fmt.Sprintf("%s.%d:8080", h.net, 101+i), zones[i], "ready", 1) }
	for i := range engines {
		address := fmt.Sprintf("%s.%d:8080", h.net, 101+i)
		if _, err := h.start(nil, h.writeLine, os.Args[0], "engine", "-addr", address, "-public", address, "-id", id(i), "-zone", zones[i]); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i := range engines {
		list(i)
	}
	var fronts []string
	for i := range boxes {
		front, err := h.box(i+1, boxes, zones[i])
		if err != nil {
			return cannotRun, err
		}
		fronts = append(fronts, front)
	}
	for _, front := range fronts {
		if !awaitReady(front) {
			return cannotRun, errCannotRun
		}
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var all sync.WaitGroup
	asked, served, n := map[string]int{}, map[string]int{}, 0
	traffic := func(period time.Duration, path string) {
		for range int(period/time.Second) * perSecond {
			n++
			front, request := fronts[n%len(fronts)], fmt.Sprintf("%08x%08x", 0x9c410000+n, time.Now().UnixNano()&0xffffffff)
			all.Add(1)
			go func() {
				defer all.Done()
				o := h.ask(front, path, request, prompt, events, 9*time.Second)
				h.judge(o, events)
				mu.Lock()
				defer mu.Unlock()
				asked[path]++
				if o.complete && o.events == events {
					served[path]++
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
	}
	traffic(5*time.Second, askPath)
	if h.trouble {
		h.store.setAway(true)
		h.log("store", "away")
		time.AfterFunc(silence, func() {
			for i := range engines {
				h.store.remove("servers/" + id(i))
				h.log("store", "entry lapsed", "server", id(i))
			}
		})
		time.AfterFunc(awayFor, func() {
			h.store.setAway(false)
			h.log("store", "back")
			for i := range engines {
				time.AfterFunc(time.Duration(i+1)*checkIn/engines, func() { list(i) })
			}
		})
	}
	traffic(awayFor.Truncate(time.Second)+time.Second, askPath)
	traffic(8*time.Second, askPath) // calm again, for over contactMs
	before := served[askPath]
	h.configure(9, 39000, 34459, askPath, addedPath)
	traffic(2*time.Second, askPath)
	traffic(5*time.Second, addedPath)
	traffic(3*time.Second, askPath)
	all.Wait()
	first, added := share(served[askPath], asked[askPath]), share(served[addedPath], asked[addedPath])
	text := fmt.Sprintf("first route: %d of %d served; added route: %d of %d served", served[askPath], asked[askPath], served[addedPath], asked[addedPath])
	h.log("judge", "result", "outcome", text)
	fmt.Println(text)
	if before == 0 || asked[addedPath] < 20 {
		return cannotRun, errCannotRun
	}
	if added < first/4 {
		return broken, nil
	}
	return held, nil
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
