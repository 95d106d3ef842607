package watch

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/engine"
)

// maxDocumentBytes is the size of the largest document of the platform, compressed or not.
const maxDocumentBytes = 16 << 20

// platform is a client of the platform's configuration service.
type platform struct {
	address netip.AddrPort
	client  *client.Client
}

func newPlatform(address netip.AddrPort, maxWait time.Duration) (*platform, error) {
	c, err := client.NewClient(
		engine.WithMaxResponse(maxDocumentBytes),
		client.WithDialTimeout(time.Second),
		client.WithClientReadTimeout(maxWait+2*time.Second),
	)
	if err != nil {
		return nil, errors.Wrap(err, "build the platform client")
	}
	return &platform{
		address: address,
		client:  c,
	}, nil
}

// fetch reads a resource if its version is above after, waiting up to wait for one.
// It returns nil if there is none.
func (p *platform) fetch(ctx context.Context, resource string, after uint64, wait time.Duration) ([]byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodGet)
	req.SetRequestURI("http://" + p.address.String() + "/v1/" + resource +
		"?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String())
	req.Header.Set("Accept-Encoding", "gzip")
	if err := p.client.Do(ctx, req, resp); err != nil {
		return nil, errors.Wrap(err, "read the platform's "+resource)
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		platformBytes.Add(len(resp.Body()))
		return decodedBody(resp)
	case http.StatusNotModified:
		return nil, nil
	}
	return nil, errors.Errorf("the platform answered %d for its %s", resp.StatusCode(), resource)
}

// decodedBody returns a copy of a response's body, decompressed if necessary.
func decodedBody(resp *protocol.Response) ([]byte, error) {
	if string(resp.Header.ContentEncoding()) == "gzip" {
		return gunzip(resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// gunzip decompresses a document.
func gunzip(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the platform's response")
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err == nil && len(document) > maxDocumentBytes {
		err = errors.Errorf("the document is larger than %d bytes", maxDocumentBytes)
	}
	return document, errors.Wrap(err, "decompress the platform's response")
}
