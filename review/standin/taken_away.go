package main

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"
)

// takenAway: model servers are emptied and taken away, one in six at a time, gone 1.6 s after the
// notice. Some of the streams that they are still writing then have neither a length nor
// chunks.
func takenAway(h *harness) (int, error) {
	const (
		boxes, engines = 3, 24
		prompt, events = 3000, 40
		perSecond      = 48
		length         = 60 * time.Second
		noticeGap      = 3300 * time.Millisecond
		notice         = 1600 * time.Millisecond
		leave          = 4 // of 24, 0.17
		unframedEvery  = "20"
	)
	zones := []string{"z-a", "z-b", "z-c"}
	type server struct {
		id, address, zone string
		process           *exec.Cmd
	}
	started := 0
	begin := func(zone string) (server, error) {
		started++
		s := server{id: fmt.Sprintf("i-%04d", started), address: fmt.Sprintf("%s.%d:8080", h.net, 100+started), zone: zone}
		var err error
		s.process, err = h.start(nil, h.writeLine, os.Args[0], "engine", "-addr", s.address, "-public", s.address, "-id", s.id, "-zone", zone, "-unframed-every", unframedEvery)
		return s, err
	}
	var ready []server
	for i := range engines {
		s, err := begin(zones[i%len(zones)])
		if err != nil {
			return cannotRun, err
		}
		ready = append(ready, s)
	}
	time.Sleep(300 * time.Millisecond)
	h.configure(7, 39000, 34459, askPath)
	for _, s := range ready {
		h.listEngine(s.id, s.address, s.zone, "ready", 1)
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

	var all sync.WaitGroup
	if h.trouble {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range int((length - 6*time.Second) / noticeGap) {
				if n == 0 {
					time.Sleep(2 * time.Second)
				}
				leaving := ready[:leave]
				ready = ready[leave:]
				for _, s := range leaving {
					h.listEngine(s.id, s.address, s.zone, "draining", 2)
				}
				all.Add(1)
				go func() {
					defer all.Done()
					time.Sleep(notice)
					for _, s := range leaving {
						_ = s.process.Process.Kill()
						h.log("platform", "server gone", "server", s.id)
					}
					time.Sleep(3600 * time.Millisecond)
					for _, s := range leaving {
						h.store.remove("servers/" + s.id)
					}
				}()
				fresh := make([]server, 0, leave)
				for _, s := range leaving {
					f, err := begin(s.zone)
					if err != nil {
						return
					}
					fresh = append(fresh, f)
				}
				time.Sleep(noticeGap)
				for _, f := range fresh {
					h.listEngine(f.id, f.address, f.zone, "ready", 1)
				}
				ready = append(ready, fresh...)
			}
		}()
	}
	var mu sync.Mutex
	asked, complete, wrong := 0, 0, 0
	for n := range int(length/time.Second) * perSecond {
		all.Add(1)
		go func() {
			defer all.Done()
			o := h.ask(fronts[n%len(fronts)], askPath, fmt.Sprintf("%08x%08x", 0x9c410000+n, time.Now().UnixNano()&0xffffffff), prompt, events, 39*time.Second)
			good := h.judge(o, events)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if o.complete && o.events == events {
				complete++
			}
			if !good {
				wrong++
			}
		}()
		time.Sleep(time.Second / perSecond)
	}
	all.Wait()
	h.log("judge", "result", "streams", asked, "whole", complete, "broken", wrong)
	fmt.Printf("streams %d, whole %d, ended as complete before their last piece %d\n", asked, complete, wrong)
	if complete == 0 {
		return cannotRun, errCannotRun
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
