package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// protocolVersion is the version of the messages in this package; a process
// refuses an envelope of a higher one.
const protocolVersion = 1

// Message is a typed message; its kind names it on the wire.
type Message interface{ Kind() string }

// Versions says what the sender has in force; each envelope carries it.
type Versions struct {
	Config uint64 `cbor:"1,keyasint,omitempty"`
	List   uint64 `cbor:"2,keyasint,omitempty"`
	Digest uint64 `cbor:"3,keyasint,omitempty"` // of the configuration's text
}

type envelope struct {
	Protocol uint8           `cbor:"1,keyasint"`
	ID       uint64          `cbor:"2,keyasint,omitempty"`
	Answer   bool            `cbor:"3,keyasint,omitempty"`
	Kind     string          `cbor:"4,keyasint,omitempty"`
	Fault    string          `cbor:"5,keyasint,omitempty"`
	Versions Versions        `cbor:"6,keyasint"`
	Body     cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// ProtocolError reports an envelope that this version can't read.
type ProtocolError struct {
	Got uint8
}

// Error names the fault and the remedy.
func (e *ProtocolError) Error() string {
	return "message of a newer protocol version; replace this box by the newer release first"
}

func seal(e envelope, body Message) ([]byte, error) {
	if body != nil {
		raw, err := encoding.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode "+body.Kind())
		}
		e.Kind = body.Kind()
		e.Body = raw
	}
	e.Protocol = protocolVersion
	return encoding.Marshal(e)
}

func open(data []byte) (envelope, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return e, errors.Wrap(err, "decode an envelope")
	}
	if e.Protocol > protocolVersion {
		return e, &ProtocolError{Got: e.Protocol}
	}
	return e, nil
}

// EncodedSize gives the bytes that a message's body takes on the wire.
func EncodedSize(m any) int {
	raw, err := encoding.Marshal(m)
	if err != nil {
		return 0
	}
	return len(raw)
}
