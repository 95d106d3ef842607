package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"dillsaddle.example/dillsaddle/core"
)

// The headers that answers carry.
const (
	outcomeHeader    = "Dillsaddle-Outcome"
	requestHeader    = "Dillsaddle-Request"
	repeatableHeader = "Dillsaddle-Repeatable"
	idempotencyKey   = "Idempotency-Key"
	retryAfterHeader = "Retry-After"
	lastEventHeader  = "Last-Event-ID"
	requestIDHeader  = "X-Request-Id"
)

// Problem is a final answer that is no success: its status, a stable code, and
// a message that names the remedy.
type Problem struct {
	Status     int
	Code       string
	Message    string
	Outcome    core.Outcome
	RetryAfter time.Duration
}

// Error gives the message.
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
	kind := "invalid_request_error"
	switch {
	case p.Status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case p.Status >= http.StatusInternalServerError:
		kind = "server_error"
	}
	return problemBody{
		Error: problemDetail{
			Message:    p.Message,
			Type:       kind,
			Code:       p.Code,
			RetryAfter: seconds(p.RetryAfter),
		},
		Outcome: p.Outcome,
	}
}

func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func (p *Problem) answer(c *app.RequestContext) {
	c.Response.Header.Set(outcomeHeader, string(p.Outcome))
	if p.RetryAfter > 0 {
		c.Response.Header.Set(retryAfterHeader, strconv.Itoa(seconds(p.RetryAfter)))
	}
	c.JSON(p.Status, p.body())
}

// invalid is a caller's fault: nothing was sent anywhere.
func invalid(status int, code, message string) *Problem {
	return &Problem{
		Status:  status,
		Code:    code,
		Message: message,
		Outcome: core.NotRun,
	}
}

// refused is a request that is given up at once, with when to come back.
func refused(status int, code, message string, after time.Duration) *Problem {
	return &Problem{
		Status:     status,
		Code:       code,
		Message:    message,
		Outcome:    core.NotRun,
		RetryAfter: max(after, time.Second),
	}
}
