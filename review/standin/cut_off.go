package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// cutOff: a box is partitioned from all servers for 3 s, twice. Its connections to them are
// reset and new ones hang.
func cutOff(h *harness) (int, error) {
	const (
		engines        = 6
		prompt, events = 500, 46
		perSecond      = 12
		timeoutMs      = 6000
		length         = 26 * time.Second
		cutFor         = 3 * time.Second
	)
	cuts := []time.Duration{4 * time.Second, 18 * time.Second}
	var paths []*proxy
	var listed, own, pairs []string
	for i := range engines {
		listed = append(listed, fmt.Sprintf("%s.%d:8080", h.net, 100+i))
		own = append(own, fmt.Sprintf("%s.%d:8080", h.net, 150+i))
		pairs = append(pairs, listed[i]+"="+own[i])
	}
	h.configure(7, timeoutMs, 34459, askPath)
	for i := range engines {
		id := fmt.Sprintf("i-%04d", i+1)
		if _, err := h.start(nil, h.writeLine, os.Args[0], "engine", "-addr", own[i], "-public", listed[i], "-id", id, "-direct", strings.Join(pairs, ",")); err != nil {
			return cannotRun, err
		}
		p, err := startProxy(listed[i], own[i])
		if err != nil {
			return cannotRun, err
		}
		paths = append(paths, p)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range engines {
		h.listEngine(fmt.Sprintf("i-%04d", i+1), listed[i], "z-a", "ready", 1)
	}
	front, err := h.box(1, 1, "z-a")
	if err != nil {
		return cannotRun, err
	}
	if !awaitReady(front) {
		return cannotRun, errCannotRun
	}
	time.Sleep(3 * time.Second)

	var all sync.WaitGroup
	if h.trouble {
		for _, at := range cuts {
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(at)
				h.log("path", "box cut from all servers")
				for _, p := range paths {
					p.close1()
				}
				time.Sleep(cutFor)
				for _, p := range paths {
					p.open()
				}
				h.log("path", "path back")
			}()
		}
	}
	var mu sync.Mutex
	asked, complete, wrong := 0, 0, 0
	for n := range int(length/time.Second) * perSecond {
		all.Add(1)
		go func() {
			defer all.Done()
			o := h.ask(front, askPath, fmt.Sprintf("%08x%08x", 0x9c410000+n, time.Now().UnixNano()&0xffffffff), prompt, events, 9*time.Second)
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
