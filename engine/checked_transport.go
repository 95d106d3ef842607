package engine

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
)

// CheckedTransport is an HTTP transport that returns only responses with valid heads. It returns a
// *HeadError for others and closes their connections.
type CheckedTransport struct {
	*http.Transport
	Upgrades bool // its requests ask for a change of protocols
}

// RoundTrip implements http.RoundTripper.
func (t CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	var interim interimChecker
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: interim.check,
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	fault := findHeadFault(response)
	if fault == BadUpgrade && t.Upgrades {
		fault = ""
	}
	if err := headError(fault, response); err != nil {
		_ = conn.Close() // one without a body would be used again
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// maxInterimHeads bounds the interim responses to a request. The transport doesn't if they are traced.
const maxInterimHeads = 32

var errTooManyInterimHeads = errors.Errorf("more than %d interim responses precede the final one", maxInterimHeads)

// interimChecker checks the interim responses to a request.
type interimChecker struct{ heads int }

func (c *interimChecker) check(status int, header textproto.MIMEHeader) error {
	if c.heads++; c.heads > maxInterimHeads {
		return errTooManyInterimHeads
	}
	return CheckHead(&http.Response{
		StatusCode: status,
		ProtoMajor: 1,
		Header:     http.Header(header),
	})
}
