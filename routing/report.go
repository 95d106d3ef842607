package routing

import "time"

// Report is an engine's report of its load.
type Report struct {
	Endpoint string        `cbor:"1,keyasint"`
	Running  int           `cbor:"2,keyasint,omitempty"`
	Waiting  int           `cbor:"3,keyasint,omitempty"`
	Used     int           `cbor:"4,keyasint,omitempty"` // tokens of memory in use that can't be evicted
	Total    int           `cbor:"5,keyasint,omitempty"` // tokens of memory
	Age      time.Duration `cbor:"6,keyasint"`           // time since the engine made the report
	Leaving  bool          `cbor:"7,keyasint,omitempty"` // the engine is terminating
}
