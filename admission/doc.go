// Package admission decides which waiting request runs where, which waits and
// which is refused.
//
// Output lengths are unknown, so a request is admitted by the distribution of
// remaining lengths: the running set's expected memory and its variance are
// held at a few horizons ahead, and the peak over the horizons must stay under
// the leased memory with the risk that the request's tier states. Everything
// here is pure: state, event and time in, commands out.
package admission
