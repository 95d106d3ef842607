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

// envelope is a message as boxes frame it; the body is the fuzzer's.
type envelope struct {
	Protocol uint8           `cbor:"1,keyasint"`
	ID       uint64          `cbor:"2,keyasint,omitempty"`
	Kind     string          `cbor:"4,keyasint,omitempty"`
	Versions wire.Versions   `cbor:"6,keyasint"`
	Body     cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// FuzzMessage lets a box say anything to another one, as each kind of message: the other
// must go on, answer a greeting, and give new requests to no endpoint without an address.
func FuzzMessage(f *testing.F) {
	kinds := []string{
		fleet.Gossip{}.Kind(), fleet.Update{}.Kind(), fleet.EndRecords{}.Kind(), fleet.Placements{}.Kind(),
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
		fleet.EndRecords{All: []core.CrashRecord{{Cleared: true, Age: 1 << 62}}},
		fleet.Placements{All: []fleet.Placement{{Endpoint: "e", Tokens: -1}}},
		fleet.Evacuating{Endpoint: "e", Runs: []fleet.PendingMove{{ID: "r", CopyTime: -1}}},
		fleet.StateRequest{ConfigVersion: 1 << 63},
		fleet.BorrowRequest{Service: "s", Sends: -1},
	} {
		body, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), body)
	}
	belief, at := fuzzedBox(f)
	asked := wire.NewPool(wire.NewHandlers())
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		if cbor.Wellformed(body) != nil {
			return
		}
		say(t, at, envelope{
			Protocol: 1,
			ID:       uint64(kind) % 2, // a push, or a question
			Kind:     kinds[int(kind)%len(kinds)],
			Body:     body,
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := wire.Request[fleet.Gossip](ctx, asked, at, fleet.Gossip{From: core.Peer{Box: "asks"}}); err != nil {
			t.Fatalf("no greeting is answered after %q as %s: %v", body, kinds[int(kind)%len(kinds)], err)
		}
		for _, e := range belief.View().Serving("s") {
			if !e.Address.IsValid() {
				t.Fatalf("requests go to an endpoint without an address: %+v", e)
			}
		}
	})
}

// fuzzedBox starts a box with a configuration and a list, and gives its address.
func fuzzedBox(f *testing.F) (*fleet.State, netip.AddrPort) {
	texts, err := emulator.FreeAddresses(1)
	if err != nil {
		f.Fatal(err)
	}
	at := netip.MustParseAddrPort(texts[0])
	belief := fleet.NewState()
	belief.ApplySnapshot(time.Now(), snapshot(1))
	_, err = fleet.NewPeers(core.Peer{
		Box:     "listens",
		Address: at,
	}, nil, belief)
	if err != nil {
		f.Fatal(err)
	}
	return belief, at
}

// say sends one message on a connection of its own.
func say(t *testing.T, at netip.AddrPort, e envelope) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return // the fuzzer's body is no CBOR
	}
	c, _, err := websocket.Dial(t.Context(), "ws://"+at.String()+wire.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseNow()
	if err := c.Write(t.Context(), websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
	// It is handled before the next answer, or the connection is closed for it.
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
	defer cancel()
	_, _, _ = c.Read(ctx)
}
