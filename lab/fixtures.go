package lab

import (
	"encoding/json"
	"fmt"
	"time"

	"dillsaddle.example/dillsaddle/core"
)

// Target size: what the users expect within two years.
const (
	targetBoxes         = 470
	targetEndpoints     = 5300
	targetRequests      = 54000.0 // per second
	targetTokens        = 25e6    // per second
	targetCustomers     = 410
	targetModels        = 32
	targetRegions       = 7
	targetZones         = 18
	configChangesPerDay = 6800.0
	boxesReplacedPerDay = 2067.0 // including failures
	secondsPerDay       = 86400.0
)

// newList returns a membership list whose boxes are spread over zones and regions.
func newList(boxes, endpoints int) *core.List {
	l := &core.List{
		Version: 1,
		Age:     time.Hour,
	}
	for i := range boxes {
		zone := i % targetZones
		l.Boxes = append(l.Boxes, core.Member{
			Name:   fmt.Sprintf("box-%03d", i),
			Zone:   fmt.Sprintf("zone-%02d", zone),
			Region: fmt.Sprintf("region-%d", zone%targetRegions),
		})
	}
	for i := range endpoints {
		l.Endpoints = append(l.Endpoints, core.EndpointStatus{Name: fmt.Sprintf("engine-%04d", i)})
	}
	return l
}

// configDocument returns the text of a configuration with the given number of entries.
func configDocument(customers, models, endpoints int) []byte {
	type entry map[string]any
	d := entry{
		"version":  1,
		"tiers":    []entry{{"name": "gold", "rank": 0, "policy": "paid"}},
		"policies": []entry{{"name": "paid", "decide": "request.fits ? 'run' : 'wait'"}},
	}
	var cs, ms, es []entry
	for i := range customers {
		cs = append(cs, entry{
			"name":       fmt.Sprintf("customer-%03d", i),
			"tier":       "gold",
			"key_sha256": []string{fmt.Sprintf("%064x", i+1)},
		})
	}
	for i := range models {
		ms = append(ms, entry{"name": fmt.Sprintf("model-%02d", i)})
	}
	for i := range endpoints {
		es = append(es, entry{
			"name":    fmt.Sprintf("engine-%04d", i),
			"address": fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1),
			"zone":    fmt.Sprintf("zone-%02d", i%targetZones),
			"models":  []string{fmt.Sprintf("model-%02d", i%models)},
		})
	}
	d["customers"], d["models"], d["endpoints"] = cs, ms, es
	text, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return text
}
