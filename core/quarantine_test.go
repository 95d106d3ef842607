package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/core"
)

var (
	crashingRequest = core.NewDigest([]byte("crashing"))
	testStart       = time.Unix(1000, 0)
)

func atOffset(d time.Duration) time.Time { return testStart.Add(d) }

func isQuarantined(q *core.Quarantine, now time.Time) bool {
	_, isQuarantined := q.QuarantinedUntil(now, crashingRequest)
	return isQuarantined
}

var _ = Describe("a request's digest", func() {
	It("depends on how the content is divided into parts", func() {
		Expect(core.NewDigest([]byte("ab"), []byte("c"))).NotTo(Equal(core.NewDigest([]byte("a"), []byte("bc"))))
	})
})

var _ = Describe("a quarantine", func() {
	var q *core.Quarantine
	rules := core.DefaultQuarantineRules()
	BeforeEach(func() { q = core.NewQuarantine(rules) })
	crash := func(at time.Duration, endpoint string) { q.Crashed(atOffset(at), crashingRequest, endpoint) }

	It("quarantines a request after crashes of three endpoints, not after three reports of one", func() {
		for range 3 {
			crash(0, "e-1")
		}
		crash(time.Second, "e-2")
		Expect(isQuarantined(q, atOffset(time.Second))).To(BeFalse())
		crash(2*time.Second, "e-3")
		until, quarantined := q.QuarantinedUntil(atOffset(3*time.Second), crashingRequest)
		Expect(quarantined).To(BeTrue())
		Expect(until).To(Equal(atOffset(2*time.Second + rules.Duration)))
		Expect(q.All(atOffset(3 * time.Second))).To(Equal([]core.Digest{crashingRequest}))
	})

	// Relayed crash records look younger by their time in transit, so crashes from before a
	// successful run could seem to follow it.
	It("ignores relayed records of crashes from before a successful run", func() {
		crashes := []core.Crash{{Endpoint: "e-1"}, {Endpoint: "e-2"}, {Endpoint: "e-3"}}
		records := func(age time.Duration) []core.CrashRecord {
			for i := range crashes {
				crashes[i].Age = age
			}
			return []core.CrashRecord{{Request: crashingRequest, Crashes: crashes}}
		}
		q.Merge(atOffset(10*time.Millisecond), records(10*time.Millisecond))
		Expect(isQuarantined(q, atOffset(10*time.Millisecond))).To(BeTrue())
		q.Merge(atOffset(20*time.Millisecond), []core.CrashRecord{{Request: crashingRequest, Cleared: true, Age: 5 * time.Millisecond}})
		Expect(isQuarantined(q, atOffset(20*time.Millisecond))).To(BeFalse())
		q.Merge(atOffset(300*time.Millisecond), records(250*time.Millisecond))
		Expect(isQuarantined(q, atOffset(300*time.Millisecond))).To(BeFalse())
		q.Merge(atOffset(3*time.Second), records(0))
		Expect(isQuarantined(q, atOffset(3*time.Second))).To(BeTrue(), "new crashes count")
	})

	It("releases a request after its duration, and quarantines it again after one more crash", func() {
		crash(0, "e-1")
		crash(0, "e-2")
		crash(0, "e-3")
		Expect(isQuarantined(q, atOffset(rules.Duration-time.Second))).To(BeTrue())
		Expect(isQuarantined(q, atOffset(rules.Duration))).To(BeFalse())
		crash(rules.Duration, "e-4")
		Expect(isQuarantined(q, atOffset(rules.Duration+time.Second))).To(BeTrue())
	})

	It("doesn't count crashes before a successful run", func() {
		crash(0, "e-1")
		crash(time.Second, "e-2")
		Expect(q.RecordSuccess(atOffset(2*time.Second), crashingRequest)).To(BeTrue())
		crash(rules.ClearedFor+3*time.Second, "e-3")
		Expect(isQuarantined(q, atOffset(rules.ClearedFor+3*time.Second))).To(BeFalse())
		Expect(q.Crashes(crashingRequest)).To(Equal([]string{"e-3"}))
	})

	// Identical requests of many callers run at many endpoints at once, so when a zone
	// fails several of these crash during the request at the same moment.
	It("doesn't count crashes shortly after a successful run at this or another box", func() {
		q.RecordSuccess(atOffset(0), crashingRequest)
		for _, e := range []string{"e-1", "e-2", "e-3"} {
			crash(time.Second, e)
		}
		Expect(isQuarantined(q, atOffset(time.Second))).To(BeFalse())

		other := core.NewQuarantine(rules)
		for _, e := range []string{"e-1", "e-2", "e-3"} {
			other.Crashed(atOffset(time.Second), crashingRequest, e)
		}
		Expect(isQuarantined(other, atOffset(time.Second))).To(BeTrue())
		_, corrections := q.Merge(atOffset(2*time.Second), other.Sample(atOffset(2*time.Second)))
		Expect(corrections).To(HaveLen(1))
		updates, _ := other.Merge(atOffset(2*time.Second), corrections)
		Expect(updates).To(HaveLen(1))
		Expect(isQuarantined(other, atOffset(2*time.Second))).To(BeFalse())
	})

	It("keeps sending records of quarantined requests, and others only while they are new", func() {
		for i := range 3 {
			crash(time.Duration(i)*time.Second, fmt.Sprintf("e-%d", i))
		}
		q.Crashed(atOffset(3*time.Second), core.NewDigest([]byte("single crash")), "e-2")
		Expect(q.Sample(atOffset(3 * time.Second))).To(HaveLen(2))
		for range 20 {
			q.Sample(atOffset(4 * time.Second))
		}
		newBox := core.NewQuarantine(rules)
		newBox.Merge(atOffset(5*time.Second), q.Sample(atOffset(5*time.Second)))
		Expect(isQuarantined(newBox, atOffset(5*time.Second))).To(BeTrue())
		Expect(newBox.Sample(atOffset(5 * time.Second))).To(HaveLen(1))
	})

	It("keeps a bounded number of records, those with most crashes, and rejects evicted ones", func() {
		crash(0, "e-1")
		crash(0, "e-2")
		for i := range 2 * rules.MaxRecords {
			q.Crashed(atOffset(time.Second), core.NewDigest(fmt.Appendf(nil, "other %d", i)), "e-1")
		}
		crash(2*time.Second, "e-3")
		Expect(isQuarantined(q, atOffset(2*time.Second))).To(BeTrue())
		updates, _ := q.Merge(atOffset(3*time.Second), []core.CrashRecord{{
			Request: core.NewDigest([]byte("evicted")),
			Crashes: []core.Crash{{
				Endpoint: "e-1",
				Age:      3 * time.Second,
			}},
		}})
		Expect(updates).To(BeEmpty())
	})

	It("sends requests with several crashes first, and only some of those with one", func() {
		for i := range 100 {
			q.Crashed(atOffset(0), core.NewDigest(fmt.Appendf(nil, "other %d", i)), "e-1")
		}
		crash(0, "e-1")
		crash(0, "e-2")
		records := q.Sample(atOffset(time.Second))
		Expect(records[0].Request).To(Equal(crashingRequest))
		Expect(len(records)).To(BeNumerically("<", 12))
	})

	It("removes expired records", func() {
		crash(0, "e-1")
		Expect(q.Sample(atOffset(rules.Retention + time.Second))).To(BeEmpty())
	})
})

// TestQuarantinesConverge checks that boxes which exchange records in any order and
// repeatedly agree in the end, whatever crashes and successful runs there were.
func TestQuarantinesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		all := make([]*core.Quarantine, boxes)
		for i := range all {
			all[i] = core.NewQuarantine(core.DefaultQuarantineRules())
		}
		now := testStart
		step := func() { now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second) }
		exchange := func(from, to int) {
			_, _ = all[to].Merge(now, all[from].Sample(now)) // later samples forward the updates
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			step()
			box := rapid.IntRange(0, boxes-1).Draw(t, "box")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				all[box].Crashed(now, crashingRequest, fmt.Sprintf("e-%d", rapid.IntRange(0, 6).Draw(t, "endpoint")))
			case 2:
				all[box].RecordSuccess(now, crashingRequest)
			default:
				// Fifteen exchanges exhaust the records that are sent only while they are new.
				other := rapid.IntRange(0, boxes-1).Draw(t, "other")
				for range rapid.SampledFrom([]int{1, 15}).Draw(t, "times") {
					exchange(box, other)
				}
			}
		}
		for range 2 * boxes {
			for from := range boxes {
				for to := range boxes {
					exchange(from, to)
				}
			}
		}
		for i, q := range all {
			if isQuarantined(q, now) != isQuarantined(all[0], now) {
				t.Fatalf("box %d: quarantined %v, box 0: quarantined %v; crashes %v and %v", i, isQuarantined(q, now), isQuarantined(all[0], now), q.Crashes(crashingRequest), all[0].Crashes(crashingRequest))
			}
		}
	})
}
