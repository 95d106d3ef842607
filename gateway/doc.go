// Package gateway is the data path between callers and endpoints over
// HTTP/1.1: it reads a caller's request, lets core.Call decide, sends the
// request to an endpoint, and brings the answer back byte for byte.
//
// It uses the standard library's server for callers and its parser for
// answers, and sends requests on connections of its own pool, so that nothing
// below it ever repeats a request, joins headers or asks for an encoding.
package gateway
