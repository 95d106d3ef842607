package fleet_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/routing"
)

// Guards against boxes that order the same runs differently because a field is lost on the way,
// and against messages that the release before can't read.
func TestPendingMoveKeepsTheRun(t *testing.T) {
	g := NewWithT(t)
	run := core.EvacuatedRun{
		ID: "r",
		Priority: routing.Priority{
			Customer: 1,
			Route:    2,
		},
		Value:    3,
		CopyTime: 4 * time.Millisecond,
		EndsIn:   5 * time.Second,
	}
	body, err := cbor.Marshal(fleet.NewPendingMove(run))
	g.Expect(err).NotTo(HaveOccurred())
	var received fleet.PendingMove
	g.Expect(cbor.Unmarshal(body, &received)).To(Succeed())
	g.Expect(received.Run()).To(Equal(run))
	var former struct {
		ID   string `cbor:"1,keyasint"`
		Rank int    `cbor:"2,keyasint,omitempty"`
	}
	g.Expect(cbor.Unmarshal(body, &former)).To(Succeed())
	g.Expect(former.Rank).To(Equal(1))
}
