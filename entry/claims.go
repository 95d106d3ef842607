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

// The times of an entry's dealings with a claim's home.
const (
	claimTimeout  = time.Second
	claimPatience = 2 * time.Second
	claimPause    = 100 * time.Millisecond
	settleFor     = time.Minute
)

// maxKeptResponse bounds the answer that a home keeps for a repeat, in bytes.
const maxKeptResponse = 4 << 10

// claim is the right to send one request that may run at most once.
type claim struct {
	key     core.ClaimKey
	timed   bool
	made    time.Time // when its caller made the key, if the key says so
	attempt string
	home    string
	until   time.Time
	minted  bool // no caller knows the key, so no home needs to
}

// claim asks for the right to send a request that may run at most once. A
// request without a key of its caller's can't come twice by that key: its claim
// needs no home, and it is sent once.
func (e *Entry) claim(ctx context.Context, c *app.RequestContext, who *config.Customer) (*claim, *Problem) {
	name := string(c.GetHeader(idempotencyKey))
	if name == "" {
		return &claim{
			minted: true,
			until:  time.Now().Add(time.Hour),
		}, nil
	}
	k := &claim{
		key: core.ClaimKey{
			Customer: who.Name,
			Key:      name,
		},
		attempt: newToken(),
	}
	k.made, k.timed = keyTime(name)
	if k.timed && time.Until(k.made) > core.DefaultClaimRules().Skew {
		return nil, invalid(http.StatusBadRequest, "key_from_the_future", "the Idempotency-Key's own time is ahead of this box's clock; set the clock of whoever makes the keys")
	}
	answer, asked := e.askHome(ctx, k)
	switch answer.Verdict {
	case core.VerdictGranted:
		k.until = asked.Add(answer.ValidFor)
		return k, nil
	case core.VerdictRan:
		e.replay(c, answer)
		return nil, nil
	case core.VerdictInFlight:
		return nil, conflict("in_progress", "a request with this key is running; ask again after the time in Retry-After")
	case core.VerdictUnknown:
		return nil, conflict("claim_unknown", "whether a request with this key ran can't be known; look at its effects before you send it under another key")
	}
	go e.settle(k, core.NotRun, 0, nil)
	return nil, refused(http.StatusServiceUnavailable, "claim_home_unavailable", "the box that keeps this key can't vouch for it now; come back after the time in Retry-After", claimPatience)
}

// keyTime reads the time that a key carries: a UUID of version 7 does (RFC 9562).
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

func conflict(code, message string) *Problem {
	return &Problem{
		Status:     http.StatusConflict,
		Code:       code,
		Message:    message,
		Outcome:    core.Unknown,
		RetryAfter: time.Second,
	}
}

// replay answers a repeat with what is kept of the first answer.
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

// askHome asks the key's home until it gives a verdict or patience ends.
func (e *Entry) askHome(ctx context.Context, k *claim) (wire.ClaimAnswer, time.Time) {
	deadline := time.Now().Add(claimPatience)
	for {
		asked := time.Now()
		answer, err := e.askHomeOnce(ctx, k)
		decided := err == nil && answer.Verdict != core.VerdictNotOwner && answer.Verdict != core.VerdictNotYet
		if decided || time.Now().After(deadline) || ctx.Err() != nil {
			return answer, asked
		}
		time.Sleep(claimPause)
	}
}

func (e *Entry) askHomeOnce(ctx context.Context, k *claim) (wire.ClaimAnswer, error) {
	v := e.state.View()
	k.home = v.List.ClaimOwner(core.ClaimScope(k.key), nil)
	member := v.List.Member(k.home)
	if member == nil {
		return wire.ClaimAnswer{}, &noHome{}
	}
	known, _ := e.homes.Get(k.home)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := wire.Request[wire.ClaimAnswer](ctx, e.pool, member.Scheduler, wire.ClaimRequest{
		Key:         k.key,
		Attempt:     k.attempt,
		Asker:       e.self,
		ListVersion: v.List.Version,
		HomeKnown:   known,
		Timed:       k.timed,
		KeyTime:     k.made,
	})
	if err == nil {
		e.homes.Put(k.home, max(known, answer.ClaimOwner.Incarnation))
	}
	return answer, err
}

// noHome reports that the list names no box that a key can belong to.
type noHome struct{}

// Error names the fault and the remedy.
func (*noHome) Error() string { return "no box of the list can keep claims; see the platform's list" }

// settle tells the home how a claim ended; it tries for a while, and a home
// that never hears of it answers "unknown" to repeats.
func (e *Entry) settle(k *claim, outcome core.Outcome, status int, response []byte) {
	if k.minted {
		return
	}
	if len(response) > maxKeptResponse {
		status, response = 0, nil
	}
	message := wire.ClaimSettle{
		Key:      k.key,
		Attempt:  k.attempt,
		Outcome:  outcome,
		Status:   status,
		Response: response,
	}
	if e.settleOnce(k.home, message) {
		return
	}
	go e.settleLater(k, message)
}

func (e *Entry) settleLater(k *claim, message wire.ClaimSettle) {
	for deadline := time.Now().Add(settleFor); time.Now().Before(deadline); {
		time.Sleep(claimPause)
		if e.settleOnce(k.home, message) {
			return
		}
		if home := e.state.View().List.ClaimOwner(core.ClaimScope(k.key), nil); home != k.home && e.settleOnce(home, message) {
			return
		}
	}
}

func (e *Entry) settleOnce(home string, message wire.ClaimSettle) bool {
	member := e.state.View().List.Member(home)
	if member == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	_, err := wire.Request[wire.Done](ctx, e.pool, member.Scheduler, message)
	return err == nil
}
