package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	staleFreeze     = 3500 * time.Millisecond // as long as the site file freezes a machine
	staleIdleRoutes = 350
	staleCalls      = 6
	newKey          = "wsjnbanfqasnmgkcuyj8"
)

// runStaleBox cuts two of three boxes off from all servers, so that they forward requests to the third,
// which freezes while a configuration adds a tenant's key. The key is used once all boxes in touch owe it.
func runStaleBox(rec *record, folder string, trouble bool) (int, error) {
	st, err := startStore(randomIP() + ":0")
	if err != nil {
		return 0, err
	}
	tenant := map[string]any{"name": "huka270", "apiKeys": []string{tenantKey}, "priority": 1}
	st.put("op/config", configuration(7, []map[string]any{tenant}, staleIdleRoutes))
	cut := &pathCut{}
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
	cutOff, other := boxes[:2], boxes[2]
	sendEach := func(kind, key string, count int) []outcome {
		var all sync.WaitGroup
		out := make([]outcome, count)
		for n := range count {
			all.Go(func() {
				out[n] = send(cutOff[n%len(cutOff)], call{id: fmt.Sprintf("%s-%d", kind, n), path: "/pule252/2f", key: key, deadline: 3 * time.Second, body: "x"})
				rec.logOutcome(kind, out[n])
			})
			time.Sleep(40 * time.Millisecond)
		}
		all.Wait()
		return out
	}
	sendEach("before", tenantKey, 6)
	if trouble {
		rec.log("%s and %s are cut off from all servers", cutOff[0].name, cutOff[1].name)
		cut.set(cutOff)
		for _, s := range servers {
			s.resetWhere(cut.matches)
		}
	}
	for n := range 3 { // until requests are served by way of the third box
		sendEach(fmt.Sprintf("meanwhile-%d", n), tenantKey, 4)
		time.Sleep(450 * time.Millisecond)
	}
	if trouble {
		rec.log("%s freezes", other.name)
		other.signal(syscall.SIGSTOP)
		time.AfterFunc(staleFreeze, func() {
			rec.log("%s wakes, and the path is back", other.name)
			cut.set(nil)
			other.signal(syscall.SIGCONT)
		})
	}
	time.Sleep(50 * time.Millisecond)
	added := map[string]any{"name": "nizo118", "apiKeys": []string{newKey}, "priority": 1}
	st.put("op/config", configuration(9, []map[string]any{tenant, added}, staleIdleRoutes))
	confirmedAt := time.Now()
	rec.log("version 9, with the key of the tenant nizo118, is confirmed")
	time.Sleep(configApply + 50*time.Millisecond)
	broken := 0
	for _, o := range sendEach("new-key", newKey, staleCalls) {
		if o.sentAt.Sub(confirmedAt) > configApply && (o.status == http.StatusUnauthorized || o.status == http.StatusForbidden || o.status == http.StatusNotFound) {
			broken++
		}
	}
	rec.log("%d of %d requests with the key, sent later than configApplyMs after its confirmation to boxes in touch, got 401, 403 or 404", broken, staleCalls)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
