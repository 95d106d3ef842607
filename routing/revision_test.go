package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("a revision", func() {
	It("is ordered by era, then by number", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			draw := func(label string) (era, number uint64, r routing.Revision) {
				era = rapid.Uint64Range(0, 1<<16-1).Draw(t, label+" era")
				number = rapid.Uint64Range(0, 1<<48-1).Draw(t, label+" number")
				r, err := routing.NewRevision(era, number)
				if err != nil || r.Era() != era || r.Number() != number {
					t.Fatalf("%d of %d became %d of %d: %v", number, era, r.Number(), r.Era(), err)
				}
				return era, number, r
			}
			eraA, numberA, a := draw("a")
			eraB, numberB, b := draw("b")
			if (a < b) != (eraA < eraB || (eraA == eraB && numberA < numberB)) {
				t.Fatalf("%v of %d and %v of %d", numberA, eraA, numberB, eraB)
			}
		})
	})

	It("rejects an era or a number that is out of range", func() {
		for _, pair := range [][2]uint64{{1 << 16, 1}, {0, 1 << 48}} {
			_, err := routing.NewRevision(pair[0], pair[1])
			Expect(err).To(MatchError(routing.ErrRevisionTooLarge))
		}
	})
})
