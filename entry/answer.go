package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"dillsaddle.example/dillsaddle/core"
)

// The headers of requests and responses that the entry reads or sets.
const (
	outcomeHeader        = "Dillsaddle-Outcome"
	requestHeader        = "Dillsaddle-Request"
	repeatableHeader     = "Dillsaddle-Repeatable"
	idempotencyKeyHeader = "Idempotency-Key"
	retryAfterHeader     = "Retry-After"
	lastEventIDHeader    = "Last-Event-ID"
	requestIDHeader      = "X-Request-Id"
)

// Problem is an error response: its HTTP status, a stable error code and a message
// that tells the caller what to do.
type Problem struct {
	Status     int
	Code       string
	Message    string
	Outcome    core.Outcome
	RetryAfter time.Duration
}

// Error implements the error interface.
func (p *Problem) Error() string { return p.Message }

type problemBody struct {
	Error   problemDetail `json:"error"`
	Outcome core.Outcome  `json:"Dillsaddle-Outcome"`
}

type problemDetail struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       string `json:"code"`
	RetryAfter int    `json:"retry_after,omitempty"`
}

func (p *Problem) body() problemBody {
	errorType := "invalid_request_error"
	switch {
	case p.Status == http.StatusTooManyRequests:
		errorType = "rate_limit_error"
	case p.Status >= http.StatusInternalServerError:
		errorType = "server_error"
	}
	return problemBody{
		Error: problemDetail{
			Message:    p.Message,
			Type:       errorType,
			Code:       p.Code,
			RetryAfter: ceilSeconds(p.RetryAfter),
		},
		Outcome: p.Outcome,
	}
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func (p *Problem) answer(c *app.RequestContext) {
	c.Response.Header.Set(outcomeHeader, string(p.Outcome))
	if p.RetryAfter > 0 {
		c.Response.Header.Set(retryAfterHeader, strconv.Itoa(ceilSeconds(p.RetryAfter)))
	}
	c.JSON(p.Status, p.body())
}

// newRejection returns the problem for a faulty request that was not sent to any endpoint.
func newRejection(status int, code, message string) *Problem {
	return &Problem{
		Status:  status,
		Code:    code,
		Message: message,
		Outcome: core.NotRun,
	}
}

// newRefusal returns the problem for a request that was not run and may be retried after a delay.
func newRefusal(status int, code, message string, retryAfter time.Duration) *Problem {
	return &Problem{
		Status:     status,
		Code:       code,
		Message:    message,
		Outcome:    core.NotRun,
		RetryAfter: max(retryAfter, time.Second),
	}
}
