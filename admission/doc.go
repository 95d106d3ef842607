// Package admission decides which waiting request runs on which endpoint, which
// requests wait and which are refused.
//
// Output lengths are not known in advance, so a request is admitted by the
// estimated distribution of its remaining length. The expected memory of all
// running generations and its variance are computed at several horizons ahead.
// The peak over the horizons must fit the leased memory, except with the
// probability that the request's tier accepts.
//
// The package also balances the gateway's requests over the endpoints of a
// service. Time and randomness are passed in by the caller, and nothing here
// does I/O.
package admission
