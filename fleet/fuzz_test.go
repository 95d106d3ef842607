package fleet_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/routing"
	"dillsaddle.example/dillsaddle/wire"
)

// envelope is the frame of a message between boxes, with a fuzzed body.
type envelope struct {
	Protocol uint8           `cbor:"1,keyasint"`
	ID       uint64          `cbor:"2,keyasint,omitempty"`
	Kind     string          `cbor:"4,keyasint,omitempty"`
	Versions wire.Versions   `cbor:"6,keyasint"`
	Body     cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// FuzzMessage sends a box arbitrary bodies as each kind of message. The box must survive, still
// answer gossip, and send no requests to an endpoint without an address.
func FuzzMessage(f *testing.F) {
	kinds := []string{
		fleet.Gossip{}.Kind(), fleet.Update{}.Kind(), fleet.CrashRecords{}.Kind(), fleet.Placements{}.Kind(),
		fleet.Evacuating{}.Kind(), fleet.StateRequest{}.Kind(), fleet.BorrowRequest{}.Kind(),
	}
	for i, m := range []any{
		fleet.Gossip{
			From: core.Peer{Box: "a"},
			Crashes: []core.CrashRecord{{
				Crashes: []core.Crash{{Endpoint: "e", Age: -time.Second}},
			}},
			Reports: []routing.Report{{Endpoint: "e", Age: -1}},
			Age:     -1,
		},
		fleet.Update{ListRevision: 9, Updated: []routing.Endpoint{{ID: "e"}}},
		fleet.CrashRecords{All: []core.CrashRecord{{Cleared: true, Age: 1 << 62}}},
		fleet.Placements{All: []fleet.Placement{{Endpoint: "e", Tokens: -1}}},
		fleet.Evacuating{Endpoint: "e", Runs: []fleet.PendingMove{{ID: "r", CopyTime: -1, EndsIn: 1 << 62}}, Target: "e", Tokens: -1, Notice: -1},
		fleet.StateRequest{ConfigVersion: 1 << 63},
		fleet.BorrowRequest{Service: "s", Sends: -1},
	} {
		body, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), body)
	}
	state, address := startFuzzedBox(f)
	pool := wire.NewPool(wire.NewHandlers())
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		if cbor.Wellformed(body) != nil {
			return
		}
		sendMessage(t, address, envelope{
			Protocol: 1,
			ID:       uint64(kind) % 2, // 0 for a push, 1 for a request
			Kind:     kinds[int(kind)%len(kinds)],
			Body:     body,
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := wire.Request[fleet.Gossip](ctx, pool, address, fleet.Gossip{From: core.Peer{Box: "asks"}}); err != nil {
			t.Fatalf("no gossip answer after %q as %s: %v", body, kinds[int(kind)%len(kinds)], err)
		}
		for _, e := range state.View().Serving("s") {
			if !e.Address.IsValid() {
				t.Fatalf("view serves an endpoint without an address: %+v", e)
			}
		}
	})
}

// startFuzzedBox starts a box with a configuration and a list and returns its state and address.
func startFuzzedBox(f *testing.F) (*fleet.State, netip.AddrPort) {
	texts, err := emulator.FreeAddresses(1)
	if err != nil {
		f.Fatal(err)
	}
	address := netip.MustParseAddrPort(texts[0])
	state := fleet.NewState()
	state.ApplySnapshot(time.Now(), snapshot(1))
	_, err = fleet.NewPeers(core.Peer{
		Box:     "listens",
		Address: address,
	}, nil, state)
	if err != nil {
		f.Fatal(err)
	}
	return state, address
}

// sendMessage sends one message on a new connection.
func sendMessage(t *testing.T, address netip.AddrPort, e envelope) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return // the body is not valid CBOR
	}
	c, _, err := websocket.Dial(t.Context(), "ws://"+address.String()+wire.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseNow()
	if err := c.Write(t.Context(), websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
	// The box handles the message, or closes the connection, before it answers the next request.
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
	defer cancel()
	_, _, _ = c.Read(ctx)
}
