package core_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// Guards against boxes that get far more than their usual load when others of their availability
// zone lose their endpoints.
var _ = DescribeTable("the boxes that requests are forwarded to",
	func(cutOff, zoneSize int, excluded []string, expected []string) {
		var alive []core.Peer
		for i := 1; i < zoneSize; i++ {
			p := core.Peer{
				Box:  fmt.Sprintf("near-%d", i),
				Zone: "zone-a",
			}
			if i < cutOff {
				p.CutOff = []string{"plain"}
			}
			alive = append(alive, p)
		}
		alive = append(alive, core.Peer{
			Box:    "far-1",
			Zone:   "zone-b",
			CutOff: []string{"engines"},
		}, core.Peer{
			Box:    "far-2",
			Zone:   "zone-b",
			CutOff: []string{"plain"},
		})
		self := core.Peer{
			Box:  "near-0",
			Zone: "zone-a",
		}
		var boxes []string
		for _, b := range core.ForwardingBoxes(self, alive, "plain", func(box string) bool {
			for _, e := range excluded {
				if e == box {
					return true
				}
			}
			return false
		}) {
			boxes = append(boxes, b.Box)
		}
		Expect(boxes).To(Equal(expected))
	},
	Entry("half of the zone's", 2, 4, nil, []string{"near-2", "near-3"}),
	Entry("those of all zones if fewer of the own one reach the service", 3, 4, nil, []string{"near-3", "far-1"}),
	Entry("those of other zones if none of the own one does", 4, 4, nil, []string{"far-1"}),
	Entry("without excluded ones", 1, 3, []string{"near-1"}, []string{"near-2", "far-1"}),
	Entry("none if all are excluded", 2, 2, []string{"far-1"}, nil),
)
