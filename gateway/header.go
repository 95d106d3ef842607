package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection and aren't forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Content-Length", // set again from the body that was read
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
}

// endToEndHeaders returns a copy of h without hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
