package routing

import "time"

// Report is what an engine told of itself, and how long ago that was.
type Report struct {
	Endpoint string        `cbor:"1,keyasint"`
	Running  int           `cbor:"2,keyasint,omitempty"`
	Waiting  int           `cbor:"3,keyasint,omitempty"`
	Used     int           `cbor:"4,keyasint,omitempty"` // tokens of memory that can't give way
	Total    int           `cbor:"5,keyasint,omitempty"` // tokens of memory in all
	Age      time.Duration `cbor:"6,keyasint"`
	Leaving  bool          `cbor:"7,keyasint,omitempty"` // it is on its way out by its own word
}
