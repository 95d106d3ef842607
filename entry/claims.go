package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// Timeouts and retry intervals for requests to claim owners.
const (
	claimTimeout       = time.Second
	claimRetryTime     = 2 * time.Second
	claimRetryInterval = 100 * time.Millisecond
	settleRetryTime    = time.Minute
)

// maxStoredResponse limits the response that the claim owner stores for replay, in bytes.
const maxStoredResponse = 4 << 10

// claim is the permission to send a request that may run at most once.
type claim struct {
	key          core.ClaimKey
	hasKeyTime   bool
	keyCreatedAt time.Time // creation time in the key, if hasKeyTime
	attempt      string
	owner        string    // box that owns the claim
	until        time.Time // the request must not be sent later
	isUnkeyed    bool      // the request has no idempotency key, so no claim owner is involved
}

// claim obtains permission to send a request that may run at most once. A request without
// an idempotency key can't be recognized as a repeat: it needs no claim owner and is sent
// once. If the request has already run, claim replays its answer and returns a nil claim.
func (e *Entry) claim(ctx context.Context, c *app.RequestContext, customerConfig *config.Customer) (*claim, *Problem) {
	name := string(c.GetHeader(idempotencyKeyHeader))
	if name == "" {
		return &claim{
			isUnkeyed: true,
			until:     time.Now().Add(time.Hour),
		}, nil
	}
	k := &claim{
		key: core.ClaimKey{
			Customer: customerConfig.Name,
			Key:      name,
		},
		attempt: newToken(),
	}
	k.keyCreatedAt, k.hasKeyTime = keyTime(name)
	if k.hasKeyTime && time.Until(k.keyCreatedAt) > core.DefaultClaimRules().Skew {
		return nil, newRejection(http.StatusBadRequest, "key_from_the_future", "the Idempotency-Key's own time is ahead of this box's clock; set the clock of whoever makes the keys")
	}
	answer, requestedAt := e.requestClaim(ctx, k)
	switch answer.Verdict {
	case core.VerdictGranted:
		k.until = requestedAt.Add(answer.ValidFor)
		return k, nil
	case core.VerdictRan:
		e.replay(c, answer)
		return nil, nil
	case core.VerdictInFlight:
		return nil, newConflict("in_progress", "a request with this key is running; ask again after the time in Retry-After")
	case core.VerdictUnknown:
		return nil, newConflict("claim_unknown", "whether a request with this key ran can't be known; look at its effects before you send it under another key")
	}
	go e.settleClaim(k, core.NotRun, 0, nil)
	return nil, newRefusal(http.StatusServiceUnavailable, "claim_home_unavailable", "the box that keeps this key can't vouch for it now; come back after the time in Retry-After", claimRetryTime)
}

// keyTime returns the creation time in a key that is a version 7 UUID (RFC 9562).
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

func newConflict(code, message string) *Problem {
	return &Problem{
		Status:     http.StatusConflict,
		Code:       code,
		Message:    message,
		Outcome:    core.Unknown,
		RetryAfter: time.Second,
	}
}

// replay answers a repeated request with the stored response of the first one.
func (e *Entry) replay(c *app.RequestContext, answer wire.ClaimAnswer) {
	c.Response.Header.Set(outcomeHeader, string(core.Ran))
	c.Response.Header.Set("Dillsaddle-Replayed", "true")
	if answer.Status == 0 {
		if len(answer.Response) > 0 {
			c.Response.Header.Set(requestHeader, string(answer.Response))
		}
		(&Problem{
			Status:  http.StatusConflict,
			Code:    "already_ran",
			Message: "a request with this key ran before and its answer is not kept; GET /v1/streams/ID with its Dillsaddle-Request, or use another key for another request",
			Outcome: core.Ran,
		}).answer(c)
		return
	}
	c.Data(answer.Status, "application/json", answer.Response)
}

// requestClaim asks the claim owner until it gives a verdict or claimRetryTime has passed.
// It also returns when the last request was sent.
func (e *Entry) requestClaim(ctx context.Context, k *claim) (wire.ClaimAnswer, time.Time) {
	deadline := time.Now().Add(claimRetryTime)
	for {
		requestedAt := time.Now()
		answer, err := e.tryRequestClaim(ctx, k)
		decided := err == nil && answer.Verdict != core.VerdictNotOwner && answer.Verdict != core.VerdictNotYet
		if decided || time.Now().After(deadline) || ctx.Err() != nil {
			return answer, requestedAt
		}
		time.Sleep(claimRetryInterval)
	}
}

func (e *Entry) tryRequestClaim(ctx context.Context, k *claim) (wire.ClaimAnswer, error) {
	v := e.state.View()
	k.owner = v.List.ClaimOwner(core.ClaimScope(k.key), nil)
	member := v.List.Member(k.owner)
	if member == nil {
		return wire.ClaimAnswer{}, &noClaimOwnerError{}
	}
	known, _ := e.ownerIncarnations.Get(k.owner)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := wire.Request[wire.ClaimAnswer](ctx, e.pool, member.Scheduler, wire.ClaimRequest{
		Key:         k.key,
		Attempt:     k.attempt,
		Asker:       e.self,
		ListVersion: v.List.Version,
		HomeKnown:   known,
		Timed:       k.hasKeyTime,
		KeyTime:     k.keyCreatedAt,
	})
	if err == nil {
		e.ownerIncarnations.Put(k.owner, max(known, answer.ClaimOwner.Incarnation))
	}
	return answer, err
}

// noClaimOwnerError reports that no box in the list can own a claim.
type noClaimOwnerError struct{}

// Error implements the error interface.
func (*noClaimOwnerError) Error() string {
	return "no box of the list can keep claims; see the platform's list"
}

// settleClaim reports the outcome of a claim to its owner and retries in the background for
// settleRetryTime. Without the report, the owner answers "unknown" to repeats.
func (e *Entry) settleClaim(k *claim, outcome core.Outcome, status int, response []byte) {
	if k.isUnkeyed {
		return
	}
	if len(response) > maxStoredResponse {
		status, response = 0, nil
	}
	message := wire.ClaimSettle{
		Key:      k.key,
		Attempt:  k.attempt,
		Outcome:  outcome,
		Status:   status,
		Response: response,
	}
	if e.trySettle(k.owner, message) {
		return
	}
	go e.retrySettle(k, message)
}

func (e *Entry) retrySettle(k *claim, message wire.ClaimSettle) {
	for deadline := time.Now().Add(settleRetryTime); time.Now().Before(deadline); {
		time.Sleep(claimRetryInterval)
		if e.trySettle(k.owner, message) {
			return
		}
		if owner := e.state.View().List.ClaimOwner(core.ClaimScope(k.key), nil); owner != k.owner && e.trySettle(owner, message) {
			return
		}
	}
}

func (e *Entry) trySettle(owner string, message wire.ClaimSettle) bool {
	member := e.state.View().List.Member(owner)
	if member == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	_, err := wire.Request[wire.Done](ctx, e.pool, member.Scheduler, message)
	return err == nil
}
