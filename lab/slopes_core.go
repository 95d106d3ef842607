package lab

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/common/compress"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// doublings returns 1, 2, 4 and 8 times a base.
func doublings(base float64) []float64 { return []float64{base, 2 * base, 4 * base, 8 * base} }

// coreSlopes measures the costs of decisions, messages and tables without processes.
func coreSlopes() []slope {
	return []slope{
		fitSlope("admission of a request, by waiting", "ns", doublings(50), admissionCost),
		fitSlope("a lease's wish at its owner, by boxes", "ns", doublings(8), grantCost),
		fitSlope("a wish and its grant on the wire, by wishes", "bytes", doublings(4), leaseBytes),
		fitSlope("owners of all endpoints, by endpoints", "ns", doublings(600), ownerCost),
		fitSlope("owners of all endpoints, by boxes (600 endpoints)", "ns", doublings(55), func(n int) float64 { return ownerCostFor(n, 600) }),
		fitSlope("reading a configuration, by endpoints", "ns", doublings(600), configParseCost),
		fitSlope("a configuration's memory, by endpoints", "bytes", doublings(600), configMemory),
		fitSlope("a configuration's packed text, by endpoints", "bytes", doublings(600), func(n int) float64 { return gzipSize(configDocument(targetCustomers, targetModels, n)) }),
		fitSlope("a list's packed text, by endpoints (470 boxes)", "bytes", doublings(600), listGzipSize),
		fitSlope("a claim, by claims held", "ns", doublings(10000), claimCost),
		fitSlope("a claim's memory, by claims held", "bytes", doublings(10000), claimMemory),
		fitSlope("an estimate's memory, by customers", "bytes", doublings(50), estimateMemory),
		fitSlope("a heartbeat on the wire, by suspects", "bytes", doublings(2), heartbeatBytes),
		fitSlope("a list on the wire, by boxes", "bytes", doublings(55), func(n int) float64 { return float64(wire.EncodedSize(newList(n, 0))) }),
		fitSlope("a list on the wire, by endpoints", "bytes", doublings(600), func(n int) float64 { return float64(wire.EncodedSize(newList(1, n))) }),
		fitSlope("a handover on the wire, by boxes of ten lists", "bytes", doublings(55), handoverBytes),
		fitSlope("peers of a box, by boxes", "count", doublings(55), peerCount),
		fitSlope("a lookup in the shards, by threads at once", "ns", doublings(1), shardCost),
	}
}

var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// newLoadedModel returns an admission model with 16 endpoints whose leases are used up and
// a number of waiting requests.
func newLoadedModel(waiting int) *admission.Model {
	rules := admission.DefaultRules()
	rules.MaxWaiting = func(string) int { return 1 << 20 }
	rules.MaxWait = time.Hour
	m := admission.NewModel(admission.WithRules(rules))
	var names []string
	for i := range 16 {
		names = append(names, fmt.Sprintf("engine-%d", i))
	}
	m.Step(epoch, admission.EndpointsChanged{Names: names})
	for _, name := range names {
		for slot := range core.SlotCount {
			m.Step(epoch, admission.LeaseArrived{
				Slot:   slot,
				Lease:  core.NewLease(name, epoch, time.Hour, 3000, 30),
				Growth: 3000,
			})
		}
	}
	now := epoch
	for i := 0; m.Waiting() < waiting; i++ {
		now = now.Add(100 * time.Millisecond)
		m.Step(now, newArrival(i, now))
	}
	return m
}

func newArrival(i int, now time.Time) admission.RequestArrived {
	return admission.RequestArrived{Request: admission.Request{
		ID:           fmt.Sprintf("r%d", i),
		Customer:     fmt.Sprintf("customer-%d", i%targetCustomers),
		Class:        "standard",
		Tier:         "gold",
		Risk:         0.05,
		Weight:       1,
		PromptTokens: 300,
		MaxTokens:    8000,
		Prefix:       uint64(i%50 + 1),
		ArrivedAt:    now,
	}}
}

// admissionCost measures one arrival and its withdrawal while other requests wait.
func admissionCost(waiting int) float64 {
	m := newLoadedModel(waiting)
	now := epoch.Add(30 * time.Minute)
	i := 1 << 20
	return meanNanoseconds(func() {
		i++
		now = now.Add(time.Millisecond)
		ev := newArrival(i, now)
		m.Step(now, ev)
		m.Step(now, admission.RequestWithdrawn{
			ID:       ev.Request.ID,
			Customer: ev.Request.Customer,
		})
	})
}

// grantCost measures a lease grant at an owner that serves a number of boxes.
func grantCost(boxes int) float64 {
	ownership := core.NewOwnership("engine", core.DefaultLeaseRules())
	ownership.Step(epoch, core.HoldTaken{Fresh: true})
	s := admission.NewShares(ownership, 100000, 64, 30*time.Millisecond)
	now := epoch
	var demand admission.Demand
	demand.Waiting = 500
	names := make([]string, boxes)
	for i := range names {
		names[i] = fmt.Sprintf("box-%d", i)
	}
	i := 0
	return meanNanoseconds(func() {
		ownership.Step(now, core.ListConfirmed{At: now})
		s.Grant(now, names[i%boxes], demand)
		i++
	})
}

// handoverBytes returns the size of a handover that holds ten earlier lists and no claims.
func handoverBytes(boxes int) float64 {
	self := core.Box{Name: "box-000"}
	owner := core.NewClaimOwner(self, core.DefaultClaimRules(), epoch)
	for version := range uint64(11) {
		l := newList(boxes, 0)
		l.Version = version + 1
		owner.Step(epoch, core.ListAdopted{
			List: l,
			At:   epoch,
		})
	}
	for _, command := range owner.Step(epoch, core.HandoverAsked{
		From:        core.Box{Name: "box-001"},
		ListVersion: 11,
	}) {
		if sent, ok := command.(core.HandoverSent); ok {
			return float64(wire.EncodedSize(wire.HandoverTransfer{Handover: sent.Handover}))
		}
	}
	return 0
}

// leaseBytes returns the size of a lease request and of its grants.
func leaseBytes(demands int) float64 {
	var request wire.LeaseRequest
	var grants wire.LeaseGrants
	full := admission.Profile{}
	for i := range full.Mean {
		full.Mean[i] = 12345.6 + float64(i)
		full.Variance[i] = 345678.9 + float64(i)
	}
	mean, deviation := full.Floats()
	for i := range demands {
		name := fmt.Sprintf("engine-%04d", i)
		request.Demands = append(request.Demands, wire.LeaseDemand{
			Endpoint:  name,
			Model:     "model-01",
			Mean:      mean,
			Deviation: deviation,
			Running:   20,
			Waiting:   1500,
			Slot:      1,
		})
		grant := wire.LeaseGrant{
			Endpoint:     name,
			Model:        "model-01",
			TTL:          4 * time.Second,
			Tokens:       20000,
			Slots:        30,
			OtherRunning: 20,
			Growth:       1000,
			Incarnation:  1 << 60,
			Step:         20 * time.Millisecond,
			Slot:         i % 2,
			HasOthers:    i%2 == 0,
		}
		if grant.HasOthers {
			grant.OtherMean, grant.OtherDeviation = mean, deviation
		}
		grants.Grants = append(grants.Grants, grant)
	}
	return float64(wire.EncodedSize(request) + wire.EncodedSize(grants))
}

func ownerCost(endpoints int) float64 { return ownerCostFor(targetBoxes, endpoints) }

// ownerCostFor measures the computation of all endpoints' owners.
func ownerCostFor(boxes, endpoints int) float64 {
	l := newList(boxes, endpoints)
	return meanNanoseconds(func() {
		owners := core.NewOwners(l)
		for i := range l.Endpoints {
			zone := l.Boxes[i%len(l.Boxes)].Zone
			owners.Of(l.Endpoints[i].Name, zone, 0)
			owners.Of(l.Endpoints[i].Name, zone, 1)
		}
	})
}

func configParseCost(endpoints int) float64 {
	text := configDocument(targetCustomers, targetModels, endpoints)
	return meanNanoseconds(func() { config.Parse("document", text) })
}

func configMemory(endpoints int) float64 {
	text := configDocument(targetCustomers, targetModels, endpoints)
	return heapBytes(func() any {
		d, _ := config.Parse("document", text)
		return d
	})
}

// newLoadedClaimOwner returns a claim owner that holds a number of claims.
func newLoadedClaimOwner(claims int) *core.ClaimOwner {
	self := core.Box{
		Name:        "box-000",
		Incarnation: 1,
	}
	owner := core.NewClaimOwner(self, core.DefaultClaimRules(), epoch)
	l := newList(1, 0)
	l.Age = 0
	owner.Step(epoch, core.ListAdopted{
		List: l,
		At:   epoch,
	})
	for i := range claims {
		owner.Step(epoch, newClaimRequest(i))
	}
	return owner
}

func newClaimRequest(i int) core.ClaimAsked {
	return core.ClaimAsked{
		Key: core.ClaimKey{
			Customer: "customer-001",
			Key:      fmt.Sprintf("0198c0de-0000-7000-8000-%012d", i),
		},
		Attempt:     fmt.Sprintf("attempt-%022d", i),
		Asker:       core.Box{Name: "box-001"},
		ListVersion: 1,
	}
}

func claimCost(claims int) float64 {
	owner := newLoadedClaimOwner(claims)
	i := claims
	return meanNanoseconds(func() {
		i++
		owner.Step(epoch, newClaimRequest(i%claims))
	})
}

func claimMemory(claims int) float64 {
	return heapBytes(func() any { return newLoadedClaimOwner(claims) })
}

func estimateMemory(customers int) float64 {
	return heapBytes(func() any {
		estimator := admission.NewLengthEstimator(256)
		for i := range customers {
			key := admission.LengthKey{
				Customer: fmt.Sprintf("customer-%d", i),
				Class:    "standard",
			}
			estimator.ObserveEnd(key, 100)
			estimator.Curve(key)
		}
		return estimator
	})
}

func heartbeatBytes(suspects int) float64 {
	h := wire.Heartbeat{
		From: core.Box{
			Name:        "box-001",
			Incarnation: 1 << 60,
		},
		ListAge:     time.Second,
		ListVersion: 123456,
	}
	for i := range suspects {
		h.Suspected = append(h.Suspected, fmt.Sprintf("box-%03d", i))
	}
	return float64(wire.EncodedSize(h))
}

// gzipSize returns the compressed size of a text, which is what the platform sends.
func gzipSize(text []byte) float64 { return float64(len(compress.AppendGzipBytes(nil, text))) }

func listGzipSize(endpoints int) float64 {
	text, err := json.Marshal(newList(targetBoxes, endpoints))
	if err != nil {
		return 0
	}
	return gzipSize(text)
}
