// Package gateway proxies HTTP/1.1 requests from callers to endpoints. It reads a request,
// chooses an endpoint, sends the request there, and passes the answer back unchanged;
// core.Call decides on retries and continuations.
//
// It serves callers with net/http and parses answers with it, but sends requests on
// connections of its own pool: http.Transport may repeat requests, change headers and ask
// for a content encoding.
package gateway
