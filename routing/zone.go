package routing

// ZoneDrain says whether the operator asks that an availability zone's endpoints get no
// new requests.
type ZoneDrain struct {
	Zone     string   `cbor:"1,keyasint"`
	Drained  bool     `cbor:"2,keyasint,omitempty"` // false once the operator took the zone back
	Revision Revision `cbor:"3,keyasint"`           // of the store, at the last change
}
