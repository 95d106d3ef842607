package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// protocolVersion is the protocol version of this package's messages. A process rejects
// envelopes of a higher version.
const protocolVersion = 1

// Message is a typed message. Kind returns the name that identifies its type on the wire.
type Message interface{ Kind() string }

// Versions holds the sender's active versions. Every envelope carries it.
type Versions struct {
	Config uint64 `cbor:"1,keyasint,omitempty"`
	List   uint64 `cbor:"2,keyasint,omitempty"`
	Digest uint64 `cbor:"3,keyasint,omitempty"` // of the configuration text
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

var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// ProtocolError reports an envelope whose protocol version is too new for this release.
type ProtocolError struct {
	Got uint8
}

// Error implements the error interface.
func (e *ProtocolError) Error() string {
	return "message has a newer protocol version than this release supports; upgrade this box"
}

func encodeEnvelope(e envelope, body Message) ([]byte, error) {
	if body != nil {
		raw, err := encMode.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode "+body.Kind())
		}
		e.Kind = body.Kind()
		e.Body = raw
	}
	e.Protocol = protocolVersion
	return encMode.Marshal(e)
}

func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return e, errors.Wrap(err, "decode message envelope")
	}
	if e.Protocol > protocolVersion {
		return e, &ProtocolError{Got: e.Protocol}
	}
	return e, nil
}

// EncodedSize returns the encoded size of a message body in bytes, or 0 if it can't be encoded.
func EncodedSize(m any) int {
	raw, err := encMode.Marshal(m)
	if err != nil {
		return 0
	}
	return len(raw)
}
