package entry

import (
	"strings"
)

// hopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1, and RFC 2616).
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

// headerSet holds the headers of a request or response.
type headerSet interface {
	Peek(name string) []byte
	Del(name string)
}

// dropHopHeaders removes hop-by-hop headers, including those named in the Connection header.
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
