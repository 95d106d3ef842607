package box_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// Guards against boxes that together push more requests onto full endpoints than these can reject.
var _ = Describe("endpoints that fall over when they reject too many requests", func() {
	const (
		boxCount      = 4
		endpointCount = 3
		capacity      = 8 // as their store entries say
		workTime      = 100 * time.Millisecond
		maxRejections = 4
		settleTime    = 6 * time.Second        // until boxes have received their shares
		noticeTime    = 500 * time.Millisecond // until all boxes have heard of it
		loadTime      = 8 * time.Second
		maxFalls      = 2 + endpointCount/10
	)
	var endpoints []*emulator.Server
	var boxes []*testBox
	start := func(endpointCapacity int) {
		d := newDeployment()
		endpoints = nil
		for i := range endpointCount {
			s := addServer(d, fmt.Sprintf("i-%d", i), emulator.PlainService)
			s.Capacity = endpointCapacity
			s.WorkTime = workTime
			s.SetStatusHeaders(emulator.StatusHeaders{
				IsBrittle:     true,
				MaxRejections: maxRejections,
			})
			endpoints = append(endpoints, s)
		}
		boxes = startReadyBoxes(d, boxCount)
		time.Sleep(settleTime)
		for i, b := range boxes {
			b.call(fmt.Sprintf("first-%d", i))
		}
	}
	falls := func() int {
		n := 0
		for _, s := range endpoints {
			n += s.Falls()
		}
		return n
	}

	It("stand a load beyond their capacity, and most of it is used", func() {
		start(capacity)
		got := runLoad(boxes, loadTime)
		Expect(falls()).To(BeNumerically("<=", maxFalls))
		whole := endpointCount * capacity * int(loadTime/workTime)
		Expect(got[http.StatusOK]).To(BeNumerically(">=", whole/2), "%v", got)
	})

	It("stand it when they take fewer requests than their entries say", func() {
		start(capacity / 2)
		got := runLoad(boxes, loadTime)
		Expect(falls()).To(BeNumerically("<=", maxFalls))
		whole := endpointCount * capacity / 2 * int(loadTime/workTime)
		Expect(got[http.StatusOK]).To(BeNumerically(">=", whole/3), "%v", got)
	})
})
