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

// unlisted: the servers are partitioned from the store for 5 s, one after the other. After
// three check-ins of silence a server's entry goes, and it is written again, unchanged, when
// the server reaches the store again. All servers run and serve all the time.
func unlisted(h *harness) (int, error) {
	const (
		boxes, engines = 3, 3
		prompt, events = 300, 10
		perSecond      = 10
		cutFor         = 5 * time.Second
		silence        = 3 * 1200 * time.Millisecond // three check-ins
		gap            = 6 * time.Second             // from one server's cut to the next one's
		calm           = 5 * time.Second
	)
	zones := []string{"z-a", "z-b", "z-c"}
	h.configure(7, 39000, 34459, askPath)
	list := func(i int) {
		h.listEngine(fmt.Sprintf("i-%04d", i+1), fmt.Sprintf("%s.%d:8080", h.net, 101+i), zones[i], "ready", 1)
	}
	for i := range engines {
		address := fmt.Sprintf("%s.%d:8080", h.net, 101+i)
		if _, err := h.start(nil, h.writeLine, os.Args[0], "engine", "-addr", address, "-public", address, "-id", fmt.Sprintf("i-%04d", i+1), "-zone", zones[i]); err != nil {
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
			front, id := fronts[n%len(fronts)], fmt.Sprintf("%08x%08x", 0x9c410000+n, time.Now().UnixNano()&0xffffffff)
			all.Add(1)
			go func() {
				defer all.Done()
				o := h.ask(front, path, id, prompt, events, 6*time.Second)
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
	for i := range engines {
		if h.trouble {
			id := fmt.Sprintf("i-%04d", i+1)
			h.log("path", "server cut from the store", "server", id)
			time.AfterFunc(silence, func() {
				h.store.remove("servers/" + id)
				h.log("store", "entry gone after three check-ins of silence", "server", id)
			})
			time.AfterFunc(cutFor, func() { list(i) })
		}
		traffic(gap, askPath)
	}
	traffic(calm, askPath)
	before := served[askPath]
	h.configure(9, 39000, 34459, askPath, addedPath)
	traffic(2*time.Second, askPath)
	traffic(5*time.Second, addedPath)
	traffic(3*time.Second, askPath)
	all.Wait()
	first, added := share(served[askPath], asked[askPath]), share(served[addedPath], asked[addedPath])
	text := fmt.Sprintf("first route: %d of %d served; added route: %d of %d served", served[askPath], asked[askPath], served[addedPath], asked[addedPath])
	h.log("judge", "result", "what", text)
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
