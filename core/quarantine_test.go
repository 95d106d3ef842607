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
	deadly = core.NewDigest([]byte("deadly"))
	origin = time.Unix(1000, 0)
)

func after(d time.Duration) time.Time { return origin.Add(d) }

func held(q *core.Quarantine, now time.Time) bool {
	_, held := q.QuarantinedUntil(now, deadly)
	return held
}

var _ = Describe("a request's digest", func() {
	It("differs where parts are divided in another way", func() {
		Expect(core.NewDigest([]byte("ab"), []byte("c"))).NotTo(Equal(core.NewDigest([]byte("a"), []byte("bc"))))
	})
})

var _ = Describe("a quarantine", func() {
	var q *core.Quarantine
	rules := core.DefaultQuarantineRules()
	BeforeEach(func() { q = core.NewQuarantine(rules) })
	end := func(at time.Duration, endpoint string) { q.Crashed(after(at), deadly, endpoint) }

	It("holds a request after three endpoints, and not after one that was told of three times", func() {
		for range 3 {
			end(0, "e-1")
		}
		end(time.Second, "e-2")
		Expect(held(q, after(time.Second))).To(BeFalse())
		end(2*time.Second, "e-3")
		until, is := q.QuarantinedUntil(after(3*time.Second), deadly)
		Expect(is).To(BeTrue())
		Expect(until).To(Equal(after(2*time.Second + rules.Duration)))
		Expect(q.All(after(3 * time.Second))).To(Equal([]core.Digest{deadly}))
	})

	// Word of ends that comes round by several boxes looks younger by the time that its
	// messages took: a request that an endpoint had survived was held by 29 of 30 boxes, as
	// the same three ends came again with ages just below that of the survived run.
	It("isn't begun anew by ends of before a survived run whose word comes round", func() {
		ends := []core.Crash{{Endpoint: "e-1"}, {Endpoint: "e-2"}, {Endpoint: "e-3"}}
		told := func(age time.Duration) []core.CrashRecord {
			for i := range ends {
				ends[i].Age = age
			}
			return []core.CrashRecord{{Request: deadly, Crashes: ends}}
		}
		q.Merge(after(10*time.Millisecond), told(10*time.Millisecond))
		Expect(held(q, after(10*time.Millisecond))).To(BeTrue())
		q.Merge(after(20*time.Millisecond), []core.CrashRecord{{Request: deadly, Cleared: true, Age: 5 * time.Millisecond}})
		Expect(held(q, after(20*time.Millisecond))).To(BeFalse())
		q.Merge(after(300*time.Millisecond), told(250*time.Millisecond))
		Expect(held(q, after(300*time.Millisecond))).To(BeFalse())
		q.Merge(after(3*time.Second), told(0))
		Expect(held(q, after(3*time.Second))).To(BeTrue(), "ends that are new count")
	})

	It("lets a request through when its time is over, and holds it again after one more end", func() {
		end(0, "e-1")
		end(0, "e-2")
		end(0, "e-3")
		Expect(held(q, after(rules.Duration-time.Second))).To(BeTrue())
		Expect(held(q, after(rules.Duration))).To(BeFalse())
		end(rules.Duration, "e-4")
		Expect(held(q, after(rules.Duration+time.Second))).To(BeTrue())
	})

	It("doesn't count ends before a run that an endpoint survived", func() {
		end(0, "e-1")
		end(time.Second, "e-2")
		Expect(q.RecordSuccess(after(2*time.Second), deadly)).To(BeTrue())
		end(rules.ClearedFor+3*time.Second, "e-3")
		Expect(held(q, after(rules.ClearedFor+3*time.Second))).To(BeFalse())
		Expect(q.Crashes(deadly)).To(Equal([]string{"e-3"}))
	})

	// A request that many callers send alike runs at many endpoints at once; when a zone
	// fails, several end under it in the same moment.
	It("holds nothing against a request that ran well a moment ago, here or at another box", func() {
		q.RecordSuccess(after(0), deadly)
		for _, e := range []string{"e-1", "e-2", "e-3"} {
			end(time.Second, e)
		}
		Expect(held(q, after(time.Second))).To(BeFalse())

		other := core.NewQuarantine(rules)
		for _, e := range []string{"e-1", "e-2", "e-3"} {
			other.Crashed(after(time.Second), deadly, e)
		}
		Expect(held(other, after(time.Second))).To(BeTrue())
		_, objections := q.Merge(after(2*time.Second), other.Sample(after(2*time.Second)))
		Expect(objections).To(HaveLen(1))
		news, _ := other.Merge(after(2*time.Second), objections)
		Expect(news).To(HaveLen(1))
		Expect(held(other, after(2*time.Second))).To(BeFalse())
	})

	It("tells a box that starts of each held request, and others while they are new", func() {
		for i := range 3 {
			end(time.Duration(i)*time.Second, fmt.Sprintf("e-%d", i))
		}
		q.Crashed(after(3*time.Second), core.NewDigest([]byte("one end")), "e-2")
		Expect(q.Sample(after(3 * time.Second))).To(HaveLen(2))
		for range 20 {
			q.Sample(after(4 * time.Second))
		}
		late := core.NewQuarantine(rules)
		late.Merge(after(5*time.Second), q.Sample(after(5*time.Second)))
		Expect(held(late, after(5*time.Second))).To(BeTrue())
		Expect(late.Sample(after(5 * time.Second))).To(HaveLen(1))
	})

	It("keeps a bounded number of records, those with most ends, and takes none back in turns", func() {
		end(0, "e-1")
		end(0, "e-2")
		for i := range 2 * rules.MaxRecords {
			q.Crashed(after(time.Second), core.NewDigest(fmt.Appendf(nil, "other %d", i)), "e-1")
		}
		end(2*time.Second, "e-3")
		Expect(held(q, after(2*time.Second))).To(BeTrue())
		news, _ := q.Merge(after(3*time.Second), []core.CrashRecord{{
			Request: core.NewDigest([]byte("forgotten")),
			Crashes: []core.Crash{{
				Endpoint: "e-1",
				Age:      3 * time.Second,
			}},
		}})
		Expect(news).To(BeEmpty())
	})

	It("tells of many requests with one end only some, and first of those with several", func() {
		for i := range 100 {
			q.Crashed(after(0), core.NewDigest(fmt.Appendf(nil, "other %d", i)), "e-1")
		}
		end(0, "e-1")
		end(0, "e-2")
		told := q.Sample(after(time.Second))
		Expect(told[0].Request).To(Equal(deadly))
		Expect(len(told)).To(BeNumerically("<", 12))
	})

	It("forgets what is long over", func() {
		end(0, "e-1")
		Expect(q.Sample(after(rules.Retention + time.Second))).To(BeEmpty())
	})
})

// Boxes tell each other in any order, some words several times; in the end all say the
// same of a request, however many ends and survived runs there were.
func TestQuarantinesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		all := make([]*core.Quarantine, boxes)
		for i := range all {
			all[i] = core.NewQuarantine(core.DefaultQuarantineRules())
		}
		now := origin
		step := func() { now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second) }
		exchange := func(from, to int) {
			_, _ = all[to].Merge(now, all[from].Sample(now)) // the next samples tell the news as well
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			step()
			box := rapid.IntRange(0, boxes-1).Draw(t, "box")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				all[box].Crashed(now, deadly, fmt.Sprintf("e-%d", rapid.IntRange(0, 6).Draw(t, "endpoint")))
			case 2:
				all[box].RecordSuccess(now, deadly)
			default:
				// Often enough that what is told only while it is new is told no more.
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
			if held(q, now) != held(all[0], now) {
				t.Fatalf("box %d says %v of the request, box 0 %v: ends %v and %v", i, held(q, now), held(all[0], now), q.Crashes(deadly), all[0].Crashes(deadly))
			}
		}
	})
}
