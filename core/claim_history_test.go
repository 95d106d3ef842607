package core_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
)

// claimInput is one operation on a key; settled is empty for a claim.
type claimInput struct {
	key     string
	attempt string
	settled core.Outcome
}

// claimModel is the sequential specification of one key: it is granted if no other
// attempt holds it and it hasn't run.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "free" },
	Step: func(state, input, output any) (bool, any) {
		in, keyState := input.(claimInput), state.(string)
		if in.settled != "" {
			if keyState != "held by "+in.attempt {
				return true, keyState
			}
			return true, map[core.Outcome]string{core.Ran: "ran", core.NotRun: "free", core.Unknown: "unknown"}[in.settled]
		}
		switch output.(core.ClaimVerdict) {
		case core.VerdictGranted:
			return keyState == "free" || keyState == "held by "+in.attempt, "held by " + in.attempt
		case core.VerdictInFlight:
			return keyState != "free" && keyState != "ran" && keyState != "unknown", keyState
		case core.VerdictRan:
			return keyState == "ran", keyState
		case core.VerdictUnknown:
			return keyState == "unknown", keyState
		}
		return false, keyState
	},
}

// recordHistory sends random claims and outcomes to a claim owner and records them as
// overlapping operations.
func recordHistory(seed uint64, options ...core.Option) []porcupine.Operation {
	r := rand.New(rand.NewPCG(seed, 1))
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := core.NewClaimOwner(core.Box{Name: "box-1", Incarnation: 1}, core.DefaultClaimRules(), now, options...)
	owner.Step(now, core.ListAdopted{
		List: &core.List{Version: 1, Boxes: []core.Member{{Name: "box-1"}}},
		At:   now,
	})
	var all []porcupine.Operation
	for i := range 60 {
		attempt := fmt.Sprintf("a%d", i)
		key := core.ClaimKey{Customer: "c", Key: fmt.Sprintf("k%d", r.IntN(4))}
		called := int64(i*10 - r.IntN(8))
		asked := core.ClaimAsked{Key: key, Attempt: attempt, Asker: core.Box{Name: "box-2", Incarnation: 1}, ListVersion: 1}
		verdict := owner.Step(now, asked)[0].(core.ClaimAnswered).Verdict
		all = append(all, porcupine.Operation{
			ClientId: i,
			Input:    claimInput{key: key.Key, attempt: attempt},
			Call:     called,
			Output:   verdict,
			Return:   int64(i*10 + 1 + r.IntN(8)),
		})
		if verdict != core.VerdictGranted || r.IntN(3) == 0 {
			continue
		}
		outcome := []core.Outcome{core.Ran, core.NotRun, core.NotRun, core.Unknown}[r.IntN(4)]
		owner.Step(now, core.ClaimSettled{Key: key, Attempt: attempt, Outcome: outcome})
		all = append(all, porcupine.Operation{
			ClientId: i,
			Input:    claimInput{key: key.Key, attempt: attempt, settled: outcome},
			Call:     int64(i*10 + 2),
			Return:   int64(i*10 + 9),
		})
	}
	return all
}

var _ = Describe("the history of a claim owner", func() {
	It("is linearizable", func() {
		for seed := range uint64(200) {
			Expect(porcupine.CheckOperations(claimModel, recordHistory(seed))).To(BeTrue(), "seed %d", seed)
		}
	})

	It("is not linearizable if records are ignored", func() {
		violations := 0
		for seed := range uint64(50) {
			if !porcupine.CheckOperations(claimModel, recordHistory(seed, core.WithoutGuard(core.GuardClaimRecord))) {
				violations++
			}
		}
		Expect(violations).To(BeNumerically(">", 0))
	})
})
