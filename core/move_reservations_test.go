package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

var _ = Describe("the reservations of targets of moves", func() {
	now := evacuationStart
	reserve := func(run, target string, started bool) core.MoveReservation {
		return core.MoveReservation{
			Run:     run,
			Target:  target,
			Started: started,
		}
	}

	It("make a target busy for other runs until they are released or replaced, or are old", func() {
		m := core.NewMoveReservations()
		m.Reserve(now, reserve("a", "x", false))
		Expect(m.Busy(now, "x", "b")).To(BeTrue())
		Expect(m.Busy(now, "x", "a")).To(BeFalse())
		m.Reserve(now, reserve("a", "y", true))
		Expect(m.Busy(now, "x", "b")).To(BeFalse())
		Expect(m.Busy(now.Add(4*time.Second), "y", "b")).To(BeFalse())
		m.Release("a")
		Expect(m.Busy(now, "y", "b")).To(BeFalse())
	})

	// Guards against two boxes that both give way, or both stay, when their messages cross.
	It("yield at one of two boxes, whichever message comes first", func() {
		for _, order := range [][]string{{"a", "b"}, {"b", "a"}} {
			m := core.NewMoveReservations()
			m.Reserve(now, reserve(order[0], "x", false))
			yielding := m.Yields(now, reserve(order[1], "x", false))
			Expect(len(yielding) == 1).To(Equal(order[0] == "b"))
		}
		m := core.NewMoveReservations()
		m.Reserve(now, reserve("b", "x", true))
		Expect(m.Yields(now, reserve("a", "x", true))).To(BeEmpty())
	})

	// Guards against messages that double with each box where there are fewer targets than moves.
	It("yield once for each run", func() {
		m := core.NewMoveReservations()
		m.Reserve(now, reserve("b", "x", false))
		Expect(m.Yields(now, reserve("a", "x", false))).To(Equal([]string{"b"}))
		m.Reserve(now, reserve("b", "x", false))
		Expect(m.Yields(now, reserve("a", "x", false))).To(BeEmpty())
	})

	It("leave out engines that refused a copy, for a while", func() {
		m := core.NewMoveReservations()
		m.Refuse(now, "x")
		Expect(m.Refused(now.Add(200*time.Millisecond), "x")).To(BeTrue())
		Expect(m.Refused(now.Add(400*time.Millisecond), "x")).To(BeFalse())
	})

	DescribeTable("prefer engines with room for the run's end, and cross zones only for these,",
		func(better, worse core.TargetState) {
			Expect(better.Class()).To(BeNumerically("<", worse.Class()))
		},
		Entry("without another copy", core.TargetState{SameZone: true, RoomAtEnd: true}, core.TargetState{SameZone: true, RoomAtEnd: true, Busy: true}),
		Entry("in the zone", core.TargetState{SameZone: true, RoomAtEnd: true, Busy: true}, core.TargetState{RoomAtEnd: true}),
		Entry("without another copy in other zones", core.TargetState{RoomAtEnd: true}, core.TargetState{RoomAtEnd: true, Busy: true}),
		Entry("rather than with room for now", core.TargetState{RoomAtEnd: true}, core.TargetState{SameZone: true, RoomNow: true}),
		Entry("rather than none", core.TargetState{RoomNow: true}, core.TargetState{SameZone: true}),
	)
})
