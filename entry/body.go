package entry

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
)

// readBody reads a request body up to a limit. It is called after authentication, so that
// unauthenticated callers can't make the box allocate memory.
func readBody(c *app.RequestContext, limit int) ([]byte, *Problem) {
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
	if err != nil {
		return nil, newRejection(http.StatusBadRequest, "body_cut", "the body ended early; send it again")
	}
	if len(body) > limit {
		return nil, newRejection(http.StatusRequestEntityTooLarge, "body_too_large",
			fmt.Sprintf("the body is longer than the limit of %d bytes; shorten it", limit))
	}
	return body, nil
}
