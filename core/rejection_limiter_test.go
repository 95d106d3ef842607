package core_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// Guards against boxes that push an endpoint over with rejections, and against limits that outlast
// the reason for them.
var _ = Describe("a rejection limiter", func() {
	const (
		places     = 4
		rejections = 2
	)
	var l *core.RejectionLimiter
	var now time.Time
	rules := core.DefaultRejectionRules()
	BeforeEach(func() {
		now = time.Now()
		l = core.NewRejectionLimiter(rules, func() float64 { return 0.5 })
	})
	// sendAll sends as many requests as it may and returns their number.
	sendAll := func() int {
		n := 0
		for ; l.CanSend(now, places, rejections); n++ {
			l.Sent()
		}
		return n
	}
	answer := func(n int, isRejected bool) {
		for range n {
			l.Answered(now, isRejected)
		}
	}

	// reachPlaces lets time pass until the limit is that of all places.
	reachPlaces := func() {
		for range places {
			l.CanSend(now, places, rejections)
			now = now.Add(2 * rules.RaiseInterval)
		}
	}

	It("allows half of the box's places at first and all of them later, and again with each answer", func() {
		Expect(sendAll()).To(Equal(places / 2))
		now = now.Add(rules.RaiseInterval)
		Expect(sendAll()).To(Equal(1))
		reachPlaces()
		Expect(sendAll()).To(Equal(1))
		answer(3, false)
		Expect(sendAll()).To(Equal(3))
	})

	It("allows the rejections that are left after one, and half of the requests later", func() {
		reachPlaces()
		Expect(sendAll()).To(Equal(places))
		answer(1, true)
		Expect(sendAll()).To(BeZero())
		answer(3, false)
		Expect(sendAll()).To(Equal(rejections - 1))
		answer(1, false)
		now = now.Add(rules.Window + time.Millisecond)
		Expect(sendAll()).To(Equal(places / 2))
	})

	It("allows no more than the box's places when these become fewer", func() {
		reachPlaces()
		Expect(sendAll()).To(Equal(places))
		answer(1, true)
		answer(places-1, false)
		now = now.Add(rules.Window + time.Millisecond)
		Expect(l.CanSend(now, 1, rejections)).To(BeTrue())
		l.Sent()
		Expect(l.CanSend(now, 1, rejections)).To(BeFalse())
	})

	It("raises its limit until it has all its places again", func() {
		reachPlaces()
		sendAll()
		answer(1, true)
		answer(places-1, false)
		for range places {
			now = now.Add(2 * rules.RaiseInterval)
			answer(sendAll(), false)
		}
		Expect(sendAll()).To(Equal(places))
	})

	It("keeps the rejections of many boxes in a second near what the endpoint bears", func() {
		const (
			boxes     = 8
			capacity  = 4 // of the endpoint, which claims 8
			perSecond = 6
			step      = 10 * time.Millisecond
		)
		random := rand.New(rand.NewPCG(1, 2))
		var all []*core.RejectionLimiter
		for range boxes {
			all = append(all, core.NewRejectionLimiter(rules, random.Float64))
		}
		type request struct {
			box   int
			endAt time.Time
		}
		var running []request
		var rejected []time.Time
		failures, served := 0, 0
		for end := now.Add(time.Minute); now.Before(end); now = now.Add(step) {
			for len(running) > 0 && !now.Before(running[0].endAt) {
				all[running[0].box].Answered(now, false)
				running = running[1:]
				served++
			}
			for _, i := range random.Perm(boxes) {
				if !all[i].CanSend(now, 2, 1) {
					continue
				}
				all[i].Sent()
				if len(running) < capacity {
					running = append(running, request{
						box:   i,
						endAt: now.Add(100 * time.Millisecond),
					})
					continue
				}
				all[i].Answered(now, true)
				rejected = append(rejected, now)
			}
			for len(rejected) > 0 && now.Sub(rejected[0]) > time.Second {
				rejected = rejected[1:]
			}
			if len(rejected) > perSecond {
				failures++
				rejected = nil
			}
		}
		Expect(failures).To(BeNumerically("<=", 2))
		Expect(served).To(BeNumerically(">=", 60*capacity*10/2), "half of what it can")
	})
})
