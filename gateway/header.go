package gateway

import (
	"net/http"
	"strings"
)

// ofConnection are the headers that concern one connection only.
var ofConnection = []string{
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

// passedOn copies headers without those that concern one connection only.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range ofConnection {
		out.Del(name)
	}
	return out
}
