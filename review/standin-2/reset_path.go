package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	resetCutTime  = 5500 * time.Millisecond // as long as the site file cuts a machine off
	resetAfter    = 200 * time.Millisecond  // until a new connection is reset
	resetPause    = 60 * time.Millisecond   // between two requests at a box
	resetWarmUp   = 4 * time.Second
	resetCoolDown = 4 * time.Second
)

// runResetPath cuts one of three boxes off from all servers: its connections are reset.
func runResetPath(rec *record, folder string, trouble bool) (int, error) {
	st, err := startStore(randomIP() + ":0")
	if err != nil {
		return 0, err
	}
	tenant := map[string]any{"name": "huka270", "apiKeys": []string{tenantKey}, "priority": 1}
	st.put("op/config", configuration(7, []map[string]any{tenant}, 0))
	cut := &pathCut{resetAfter: resetAfter}
	var servers []*server
	for n := range 3 {
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x5b3c0000+n), service: serviceCalls, zone: "amman-" + string(rune('a'+n)), slots: 6,
			interval: 40 * time.Millisecond, rec: rec, path: cut,
		}
		if err := s.start(randomIP() + ":0"); err != nil {
			return 0, err
		}
		defer s.close()
		st.put("servers/"+s.id, s.entry())
		servers = append(servers, s)
	}
	boxes := []*box{newBox("edge-amman-a-1"), newBox("edge-amman-b-1"), newBox("edge-amman-c-1")}
	defer stopBoxes(boxes)
	if err := startBoxes(folder, boxes, st.address()); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // until the boxes know each other and are in touch

	done := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	for _, b := range boxes {
		callers.Go(func() {
			var all sync.WaitGroup
			defer all.Wait()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(resetPause):
				}
				all.Go(func() {
					o := send(b, call{id: fmt.Sprintf("%s-%d", b.name, n), path: "/pule252/2f", key: tenantKey, deadline: 1500 * time.Millisecond, body: "x"})
					rec.logOutcome("first try", o)
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, o)
				})
			}
		})
	}
	time.Sleep(resetWarmUp)
	cutAt := time.Now()
	if trouble {
		rec.log("%s is cut off from all servers", boxes[0].name)
		cut.set(boxes[:1])
		for _, s := range servers {
			s.resetWhere(cut.matches)
		}
	}
	time.Sleep(resetCutTime)
	healedAt := time.Now()
	cut.set(nil)
	rec.log("the path is back")
	time.Sleep(resetCoolDown)
	close(done)
	callers.Wait()
	return judgeReset(rec, boxes[0], outcomes, cutAt, healedAt), nil
}

// judgeReset applies the rule to the first tries from contactMs after the cut began to its end.
func judgeReset(rec *record, cutOff *box, outcomes []outcome, cutAt, healedAt time.Time) int {
	var sent, served [2]int // at the other boxes, and at the one that is cut off
	for _, o := range outcomes {
		if o.sentAt.Before(cutAt.Add(contactTime)) || o.sentAt.After(healedAt) {
			continue
		}
		at := 0
		if o.box == cutOff.name {
			at = 1
		}
		sent[at]++
		if o.status == http.StatusOK && o.signed && o.complete {
			served[at]++
		}
	}
	failed := sent[1] - served[1]
	rec.log("from contactMs after the cut began: %d of %d first tries served at the box that is cut off, %d of %d at the others", served[1], sent[1], served[0], sent[0])
	if sent[0] == 0 || sent[1] == 0 {
		return exitNotRun
	}
	rateThere, rateElsewhere := float64(served[1])/float64(sent[1]), float64(served[0])/float64(sent[0])
	if rateThere < rateElsewhere*2/3 && float64(failed) > 10+float64(sent[0]+sent[1])/50 {
		return exitBroken
	}
	return exitHeld
}
