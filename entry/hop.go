package entry

import (
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1, and RFC 2616).
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// headerSet are a request's or an answer's.
type headerSet interface {
	Peek(name string) []byte
	Del(name string)
}

// dropHopHeaders leaves out what is not to be passed on, and what the other side
// named as such.
func dropHopHeaders(h headerSet) {
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
