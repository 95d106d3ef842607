package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxUnpackedBytes limits the decompressed size of a message. It leaves room for a
// configuration of one megabyte and a list of several thousand endpoints.
const maxUnpackedBytes = 32 << 20

// Pack returns a message body in compressed form, to be sent in chunks. It uses the fastest
// compression level, which is enough for the repetitive text of configurations.
func Pack(m Message) ([]byte, error) {
	raw, err := encMode.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode "+m.Kind())
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress "+m.Kind())
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress "+m.Kind())
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress "+m.Kind())
	}
	return out.Bytes(), nil
}

// Unpack decompresses and decodes a message that was encoded by Pack.
func Unpack[M Message](packed []byte) (M, error) {
	var m M
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return m, errors.Wrap(err, "decompress "+m.Kind())
	}
	if len(raw) > maxUnpackedBytes {
		return m, errors.Errorf("decompressed %s is larger than %d bytes; raise the bound on all boxes", m.Kind(), maxUnpackedBytes)
	}
	return m, errors.Wrap(cbor.Unmarshal(raw, &m), "decode "+m.Kind())
}
