package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection",
	"Content-Length", // set anew, after the body that is there
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

// endToEndHeaders copies headers without those that concern one connection only.
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
