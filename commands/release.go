package commands

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/box"
)

func init() {
	register(&command{
		name:  "release",
		usage: "ADDRESS CONTENT|SERVICE/PART",
		help:  "send a quarantined request, or requests with a part of their prompts, to endpoints again",
		run:   releaseQuarantine,
	})
}

// releaseQuery returns the query that names what is to be released: a content, or a part of prompts
// as SERVICE/PART.
func releaseQuery(what string) url.Values {
	if i := strings.LastIndex(what, "/"); i >= 0 {
		return url.Values{
			box.ReleaseService: {what[:i]},
			box.ReleasePart:    {what[i+1:]},
		}
	}
	return url.Values{box.ReleaseContent: {what}}
}

// releaseQuarantine ends a quarantine at all boxes by way of one of them.
func releaseQuarantine(ctx context.Context, out io.Writer, arguments []string) error {
	if len(arguments) != 2 {
		return &UsageError{Problem: "release needs a box's metrics address and what to release, as status lists it"}
	}
	address, err := netip.ParseAddrPort(arguments[0])
	if err != nil {
		return &UsageError{Problem: fmt.Sprintf("%q is not an IP address and port", arguments[0])}
	}
	c, err := newAdminClient()
	if err != nil {
		return err
	}
	request, response := &protocol.Request{}, &protocol.Response{}
	request.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + address.String() + box.ReleasePath + "?" + releaseQuery(arguments[1]).Encode())
	if err := c.Do(ctx, request, response); err != nil {
		return errors.Wrapf(err, "connect to %s; use a box's metrics address", address)
	}
	text := string(bytes.TrimSpace(response.Body()))
	if response.StatusCode() != http.StatusOK {
		return errors.New(text)
	}
	_, err = fmt.Fprintln(out, text)
	return err
}
