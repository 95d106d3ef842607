package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	partEngines   = 9
	partBatch     = 10 // prompts of a batch
	partSpacing   = 15 * time.Millisecond
	partBatches   = 5               // batches
	partPause     = 6 * time.Second // between two batches
	partDownTime  = 2500 * time.Millisecond
	partSilence   = 3600 * time.Millisecond // three check-ins, after which a crashed server's entry goes
	partAllowed   = 3                       // requests that may reach servers after the bound
	partThreshold = 5                       // the crash from which the bound counts
	badPart       = "bad0bad0"
	tenantPart    = "5c1e07a2" // in all prompts
	tenantKey     = "xd9dnn2ctnfzs989anu6"
)

// runPartBatches sends prompts with a part that crashes engines, several at a time.
func runPartBatches(rec *record, folder string, trouble bool) (int, error) {
	st, err := startStore(randomIP() + ":0")
	if err != nil {
		return 0, err
	}
	tenants := []map[string]any{{"name": "huka270", "apiKeys": []string{tenantKey}, "priority": 1}}
	st.put("op/config", configuration(7, tenants, 0))
	f := &engineFleet{store: st, rec: rec}
	if trouble {
		f.badPart = badPart
	}
	for range partEngines {
		if err := f.add(randomIP() + ":0"); err != nil {
			return 0, err
		}
	}
	defer f.close()
	boxes := []*box{newBox("edge-amman-a-1"), newBox("edge-amman-b-1"), newBox("edge-amman-c-1")}
	defer stopBoxes(boxes)
	if err := startBoxes(folder, boxes, st.address()); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // until the boxes know each other and are in touch
	rec.log("boxes are ready; sound prompts begin")

	done := make(chan struct{})
	var sound, batches sync.WaitGroup
	sound.Go(func() { f.sendSound(boxes, done) })
	time.Sleep(2 * time.Second)
	for batch := range partBatches {
		rec.log("batch %d: %d prompts with the part", batch+1, partBatch)
		for n := range partBatch {
			time.Sleep(partSpacing)
			batches.Go(func() {
				id := fmt.Sprintf("bad-%d-%d", batch+1, n)
				rec.logOutcome("bad", send(boxes[n%len(boxes)], call{
					id: id, path: "/lohu930/2f", key: tenantKey, deadline: 10 * time.Second,
					prompt: tenantPart + ":100," + badPart + ":200," + fmt.Sprintf("%x", 0xe000+batch*100+n) + ":700", body: "prompt of " + id,
				}))
			})
		}
		time.Sleep(partPause)
	}
	batches.Wait()
	close(done)
	sound.Wait()
	return judgeParts(rec), nil
}

// judgeParts applies the rule to what the servers saw.
func judgeParts(rec *record) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.crashes) < partThreshold {
		rec.logLocked("%d crashes; the rule counts from the fifth", len(rec.crashes))
		return exitHeld
	}
	from := rec.crashes[partThreshold-1].Add(contactTime)
	late := 0
	for _, a := range rec.arrivals {
		for _, part := range a.parts {
			if part == badPart && a.ran && a.at.After(from) {
				late++
			}
		}
	}
	rec.logLocked("%d crashes; later than contactMs after the fifth, at %.3f, %d requests with the part reached servers (allowed: %d)",
		len(rec.crashes), rec.crashes[partThreshold-1].Sub(rec.start).Seconds(), late, partAllowed)
	if late > partAllowed {
		return exitBroken
	}
	return exitHeld
}

// engineFleet is the engines of the service. One that crashes is back after some seconds as a new
// incarnation at its address; the entry of the old one goes after three check-ins of silence.
type engineFleet struct {
	store   *store
	rec     *record
	badPart string
	mu      sync.Mutex
	engines []*server
	closed  bool
	sentN   int
}

func (f *engineFleet) add(address string) error {
	f.mu.Lock()
	n := len(f.engines)
	s := &server{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: serviceModels, zone: "amman-" + string(rune('a'+n%3)), isEngine: true, slots: 64,
		prefill: 214 * time.Millisecond, events: 16, interval: 30 * time.Millisecond, badPart: f.badPart, rec: f.rec,
	}
	s.onCrash = f.replace
	f.engines = append(f.engines, s)
	f.mu.Unlock()
	if err := s.start(address); err != nil {
		return err
	}
	f.store.put("servers/"+s.id, s.entry())
	return nil
}

func (f *engineFleet) replace(s *server) {
	address := s.address()
	time.AfterFunc(partDownTime, func() {
		f.mu.Lock()
		closed := f.closed
		f.mu.Unlock()
		if closed {
			return
		}
		if err := f.add(address); err != nil {
			f.rec.log("a server did not come back: %v", err)
		}
	})
	time.AfterFunc(partSilence, func() { f.store.remove("servers/" + s.id) })
}

func (f *engineFleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, s := range f.engines {
		s.close()
	}
}

// sendSound sends sound prompts of the same tenant, with the same first part, to all boxes in turn.
func (f *engineFleet) sendSound(boxes []*box, done <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		all.Go(func() {
			id := fmt.Sprintf("sound-%d", n)
			f.rec.logOutcome("sound", send(boxes[n%len(boxes)], call{
				id: id, path: "/lohu930/2f", key: tenantKey, deadline: 10 * time.Second,
				prompt: tenantPart + ":100," + fmt.Sprintf("c%x", n%8) + ":200," + fmt.Sprintf("%x", 0xd0000+n) + ":700", body: "prompt of " + id,
			}))
		})
	}
}
