package routing

// ZoneDrain is the operator's setting whether an availability zone is drained. The endpoints
// of a drained zone get no new requests.
type ZoneDrain struct {
	Zone     string   `cbor:"1,keyasint"`
	Drained  bool     `cbor:"2,keyasint,omitempty"`
	Revision Revision `cbor:"3,keyasint"` // store revision of the last change
}
