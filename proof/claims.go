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
			Run:      writesRepeated,
		},
		{
			Name:     "a key's home is killed, restarts, and the write is repeated",
			Promises: promises,
			Run:      homeKilled,
		},
		{
			Name:     "a key's home is paused past every time-out, leaves the list, and wakes",
			Promises: promises,
			Run:      homePaused,
		},
		{
			Name:     "the service acts and answers late, crossed or not at all",
			Promises: append(promises, model.CompleteAnswer),
			Run:      serviceFails,
		},
	}
}

// write is what a caller was told of one record write.
type write struct {
	key     string
	body    string
	status  int
	outcome string
	answer  string
}

func (f *Fleet) writeRecord(boxIndex int, key, body string) write {
	headers := map[string]string{"Authorization": "Bearer " + Key}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	w := write{
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

// judgeWrites checks the service's own record: each body at most once; once if
// any caller was told that it ran; not at all if all were told that it didn't.
func (f *Fleet) judgeWrites(writes []write) (string, error) {
	counted, err := f.ServiceEffects()
	if err != nil {
		return "", err
	}
	told := make(map[string]map[string]int)
	for _, w := range writes {
		if told[w.body] == nil {
			told[w.body] = make(map[string]int)
		}
		told[w.body][w.outcome]++
	}
	ran := 0
	for body, outcomes := range told {
		effects := counted["POST /records "+body]
		ran += effects
		switch {
		case effects > 1:
			return "", errors.Errorf("%q ran %d times", body, effects)
		case effects == 0 && outcomes["ran"] > 0:
			return "", errors.Errorf("%q was told to have run and did not", body)
		case effects == 1 && outcomes["ran"]+outcomes["unknown"]+outcomes[""] == 0:
			return "", errors.Errorf("%q ran and every caller was told that it did not", body)
		}
	}
	return fmt.Sprintf("%d writes of %d bodies, %d ran", len(writes), len(told), ran), nil
}

// writesRepeated sends each write through every box at once, on a fleet that has
// just started, until all have run: its boxes can vouch for every key.
func writesRepeated(f *Fleet) (string, error) {
	keys := make([]string, 30)
	for n := range keys {
		keys[n] = newKey()
		if n%2 == 0 {
			keys[n] = fmt.Sprintf("plain-key-%d", n)
		}
	}
	var all []write
	done := until(startLimit, func() bool {
		all = append(all, f.writesThroughAll(keys)...)
		return len(ranKeys(all)) == len(keys)
	})
	for _, w := range all {
		if strings.Contains(w.answer, "claim_unknown") {
			return "", errors.New("a new key was told unknown on a fleet that lost nothing")
		}
	}
	if !done {
		return "", errors.Errorf("%d of %d writes ran within %s", len(ranKeys(all)), len(keys), startLimit)
	}
	return f.judgeWrites(all)
}

// startLimit is the time within which every claims' home of a starting fleet must
// grant.
const startLimit = 20 * time.Second

// ranKeys gives the keys of the writes that a caller was told to have run.
func ranKeys(all []write) map[string]bool {
	ran := make(map[string]bool)
	for _, w := range all {
		if w.outcome == "ran" {
			ran[w.key] = true
		}
	}
	return ran
}

// writesThroughAll sends the write of each key through every box at once.
func (f *Fleet) writesThroughAll(keys []string) []write {
	all := make([]write, len(keys)*len(f.boxes))
	var wait sync.WaitGroup
	for n, key := range keys {
		for i := range f.boxes {
			wait.Go(func() { all[n*len(f.boxes)+i] = f.writeRecord(i, key, "reading-"+key) })
		}
	}
	wait.Wait()
	return all
}

// homeOf gives the index of the box that keeps a key.
func (f *Fleet) homeOf(key string) int {
	home := f.list.ClaimOwner(core.ClaimScope(core.ClaimKey{
		Customer: "customer-1",
		Key:      key,
	}), nil)
	for i := range f.boxes {
		if f.boxes[i].Name == home {
			return i
		}
	}
	return -1
}

func homeKilled(f *Fleet) (string, error) {
	var all []write
	homes := make(map[int]bool)
	for n := range 20 {
		key := newKey()
		if n%2 == 0 {
			key = fmt.Sprintf("plain-key-%d", n)
		}
		homes[f.homeOf(key)] = true
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
	said, err := f.judgeWrites(all)
	if err == nil && unknown == 0 {
		err = errors.New("no repeat was told unknown though a home lost its records")
	}
	return fmt.Sprintf("%s, %d repeats told unknown", said, unknown), err
}

func homePaused(f *Fleet) (string, error) {
	var keys []string
	for len(keys) < 10 {
		if key := newKey(); f.homeOf(key) == 0 {
			keys = append(keys, key)
		}
	}
	var all []write
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
	return f.judgeWrites(all)
}

func serviceFails(f *Fleet) (string, error) {
	var all []write
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
	return f.judgeWrites(all)
}
