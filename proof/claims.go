package proof

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/model"
	"dillsaddle.example/dillsaddle/standin"
)

func claimScenarios() []Scenario {
	promises := []model.Promise{model.AtMostOnce, model.NotRunMeansNotRun}
	return []Scenario{
		{
			Name:     "record writes are repeated through every box at once",
			Promises: promises,
			Run:      writesRepeatedAtOnce,
		},
		{
			Name:     "a key's owner is killed and restarts, and the write is repeated",
			Promises: promises,
			Run:      ownerKilled,
		},
		{
			Name:     "a key's owner is paused past every timeout, leaves the list, and resumes",
			Promises: promises,
			Run:      ownerPaused,
		},
		{
			Name:     "a service's answers are late, mismatched, missing or refused",
			Promises: append(promises, model.CompleteAnswer),
			Run:      serviceFails,
		},
	}
}

// writeResult is a record write together with the answer that its caller got.
type writeResult struct {
	key     string
	body    string
	status  int
	outcome string
	answer  string
}

// writeRecord writes a record through a box. The outcome is empty if the call failed.
func (f *Fleet) writeRecord(boxIndex int, key, body string) writeResult {
	headers := map[string]string{"Authorization": "Bearer " + Key}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	w := writeResult{
		key:  key,
		body: body,
	}
	status, answered, text, err := f.exchange("POST", f.boxes[boxIndex].Entry, "/v1/services/records/records", headers, []byte(body))
	if err != nil {
		return w
	}
	w.status = status
	w.outcome = answered["Dillsaddle-Outcome"]
	w.answer = string(text)
	return w
}

func newKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	return id.String()
}

// verifyWrites checks the writes against the service's records. Each body ran at most
// once, exactly once if any caller was told that it ran, and not at all if every
// caller was told that it didn't.
func (f *Fleet) verifyWrites(writes []writeResult) (string, error) {
	counted, err := f.ServiceEffects()
	if err != nil {
		return "", err
	}
	reported := make(map[string]map[string]int)
	for _, w := range writes {
		if reported[w.body] == nil {
			reported[w.body] = make(map[string]int)
		}
		reported[w.body][w.outcome]++
	}
	ran := 0
	for body, outcomes := range reported {
		effects := counted["POST /records "+body]
		ran += effects
		switch {
		case effects > 1:
			return "", errors.Errorf("%q ran %d times", body, effects)
		case effects == 0 && outcomes["ran"] > 0:
			return "", errors.Errorf("%q was reported as run, but did not run", body)
		case effects == 1 && outcomes["ran"]+outcomes["unknown"]+outcomes[""] == 0:
			return "", errors.Errorf("%q ran, but was reported to every caller as not run", body)
		}
	}
	return fmt.Sprintf("%d writes of %d bodies, %d ran", len(writes), len(reported), ran), nil
}

// writesRepeatedAtOnce sends each write through every box at once, on a fleet that
// has just started, until every write has run. Since no records were lost, every key
// must be grantable.
func writesRepeatedAtOnce(f *Fleet) (string, error) {
	keys := make([]string, 30)
	for n := range keys {
		keys[n] = newKey()
		if n%2 == 0 {
			keys[n] = fmt.Sprintf("plain-key-%d", n)
		}
	}
	var all []writeResult
	done := waitUntil(startLimit, func() bool {
		all = append(all, f.writeThroughAll(keys)...)
		return len(keysRan(all)) == len(keys)
	})
	for _, w := range all {
		if strings.Contains(w.answer, "claim_unknown") {
			return "", errors.New("a new key got claim_unknown on a fleet that lost no records")
		}
	}
	if !done {
		return "", errors.Errorf("%d of %d writes ran within %s", len(keysRan(all)), len(keys), startLimit)
	}
	return f.verifyWrites(all)
}

// startLimit is the time within which every claim owner of a starting fleet must grant
// claims.
const startLimit = 20 * time.Second

// keysRan returns the keys of the writes that were reported as run.
func keysRan(all []writeResult) map[string]bool {
	ran := make(map[string]bool)
	for _, w := range all {
		if w.outcome == "ran" {
			ran[w.key] = true
		}
	}
	return ran
}

// writeThroughAll sends the write of each key through every box at once.
func (f *Fleet) writeThroughAll(keys []string) []writeResult {
	all := make([]writeResult, len(keys)*len(f.boxes))
	var wait sync.WaitGroup
	for n, key := range keys {
		for i := range f.boxes {
			wait.Go(func() { all[n*len(f.boxes)+i] = f.writeRecord(i, key, "reading-"+key) })
		}
	}
	wait.Wait()
	return all
}

// ownerOf returns the index of the box that owns a key, or -1.
func (f *Fleet) ownerOf(key string) int {
	owner := f.list.ClaimOwner(core.ClaimScope(core.ClaimKey{
		Customer: "customer-1",
		Key:      key,
	}), nil)
	for i := range f.boxes {
		if f.boxes[i].Name == owner {
			return i
		}
	}
	return -1
}

func ownerKilled(f *Fleet) (string, error) {
	var all []writeResult
	owners := make(map[int]bool)
	for n := range 20 {
		key := newKey()
		if n%2 == 0 {
			key = fmt.Sprintf("plain-key-%d", n)
		}
		owners[f.ownerOf(key)] = true
		all = append(all, f.writeRecord(n%len(f.boxes), key, fmt.Sprintf("reading-%d", n)))
	}
	f.Signal("box-1-scheduler", syscall.SIGKILL)
	f.Restart("box-1-scheduler")
	for pause := range 6 {
		for _, w := range all[:20] {
			all = append(all, f.writeRecord(pause%len(f.boxes), w.key, w.body))
		}
		time.Sleep(time.Second)
	}
	unknown := 0
	for _, w := range all {
		if w.outcome == "unknown" {
			unknown++
		}
	}
	summary, err := f.verifyWrites(all)
	if err == nil && unknown == 0 {
		err = errors.New("no repeat got the outcome unknown, although an owner lost its records")
	}
	return fmt.Sprintf("%s, %d repeats with the outcome unknown", summary, unknown), err
}

func ownerPaused(f *Fleet) (string, error) {
	var keys []string
	for len(keys) < 10 {
		if key := newKey(); f.ownerOf(key) == 0 {
			keys = append(keys, key)
		}
	}
	var all []writeResult
	for n, key := range keys[:5] {
		all = append(all, f.writeRecord(1+n%2, key, "reading-"+key))
	}
	f.Signal("box-1-scheduler", syscall.SIGSTOP)
	for n, key := range keys[5:] {
		all = append(all, f.writeRecord(1+n%2, key, "reading-"+key))
	}
	if err := f.PublishList(func(l *core.List) { l.Boxes = l.Boxes[1:] }); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	for n, key := range keys {
		all = append(all, f.writeRecord(1+n%2, key, "reading-"+key))
	}
	f.Signal("box-1-scheduler", syscall.SIGCONT)
	for n, key := range keys {
		all = append(all, f.writeRecord(n%3, key, "reading-"+key))
	}
	time.Sleep(3 * time.Second)
	for n, key := range keys {
		all = append(all, f.writeRecord(n%3, key, "reading-"+key))
	}
	return f.verifyWrites(all)
}

func serviceFails(f *Fleet) (string, error) {
	var all []writeResult
	for n, faults := range []standin.Faults{{AnswerLate: true}, {WrongAnswer: true}, {Stall: true}, {Refuse: true}} {
		if err := f.SetFaults("service", faults); err != nil {
			return "", err
		}
		for i := range f.boxes {
			body := fmt.Sprintf("reading-%d-%d", n, i)
			key := newKey()
			all = append(all, f.writeRecord(i, key, body), f.writeRecord((i+1)%len(f.boxes), key, body))
		}
		if err := f.SetFaults("service", standin.Faults{}); err != nil {
			return "", err
		}
	}
	for _, w := range all {
		if w.outcome == "ran" && !strings.Contains(w.answer, w.body) {
			return "", errors.Errorf("the caller of %q got the answer %q", w.body, w.answer)
		}
		if w.outcome == "" {
			return "", errors.Errorf("the caller of %q got no final answer", w.body)
		}
	}
	return f.verifyWrites(all)
}
