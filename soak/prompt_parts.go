package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	// firstBadPartSeed is the first seed in whose run a part of prompts crashes engines, and most
	// callers come to one box for a spell.
	firstBadPartSeed = 7000
	badPart          = "bad"
	sharedPart       = "a1" // in most prompts, sound ones and others
	// partCrashThreshold is the number of crashes at a part after which quarantineDelay begins.
	partCrashThreshold = 5
	// minQuarantineWait is the least Retry-After of a quarantined request. From soundDelay after the
	// partCrashThreshold-th crash, or the last if there are fewer, sound prompts may be refused so
	// allowedHolds times, and once more for each holdRequests of them.
	minQuarantineWait = 5 * time.Second
	soundDelay        = 6 * time.Second
	allowedHolds      = 2
	holdRequests      = 100

	// The crowd's spell begins crowdDelay after the first fault, and most callers take part.
	crowdDelay = 2 * time.Second
	crowdTime  = 4 * time.Second
	crowdShare = 0.8
	// While it lasts, the box must serve minCrowdShare times as often as before, unless at most
	// allowedFailures requests fail there.
	minCrowdShare = 0.75
)

func hasBadPart(seed uint64) bool { return seed >= firstBadPartSeed && seed < firstLapseSeed }

// badPrompt returns the parts of a prompt that crashes engines: the bad part comes first, in the
// middle or alone, and the others are shared with sound prompts.
func badPrompt(r *rand.Rand, n int) []string {
	own := fmt.Sprintf("e%x", n)
	return [][]string{
		{badPart, sharedPart, own},
		{sharedPart, badPart, own},
		{badPart, own},
		soundPromptWith(r, badPart, own),
	}[r.IntN(4)]
}

// soundPrompt returns the parts of a sound prompt.
func soundPrompt(r *rand.Rand, n int) []string { return soundPromptWith(r, fmt.Sprintf("d%x", n)) }

func soundPromptWith(r *rand.Rand, rest ...string) []string {
	return append([]string{sharedPart, fmt.Sprintf("c%x", r.IntN(8))}, rest...)
}

// checkSoundPrompts checks that sound prompts are hardly ever held for a part, given the sorted times
// of the crashes.
func (r *Report) checkSoundPrompts(f *fleet, crashTimes []time.Time, results []callResult) {
	if !f.hasBadPart || len(crashTimes) == 0 {
		return
	}
	from := crashTimes[min(len(crashTimes), partCrashThreshold)-1].Add(soundDelay)
	held, sent := 0, 0
	for _, s := range results {
		if s.kind != "stream" || s.startedAt.Before(from) {
			continue
		}
		sent++
		seconds, err := strconv.ParseFloat(s.RetryAfter, 64)
		if err == nil && seconds >= minQuarantineWait.Seconds() {
			held++
		}
	}
	if held > allowedHolds+sent/holdRequests {
		r.addViolation("LOST: %d of %d sound prompts were held for a part that crashes engines", held, sent)
	}
}

// crowd is a spell in which most callers open new connections to one box.
type crowd struct {
	box     int
	enabled bool
	mu      sync.Mutex
	beginAt time.Time
}

func newCrowd(seed uint64, boxes int) *crowd {
	return &crowd{
		box:     int(seed) % boxes,
		enabled: hasBadPart(seed),
	}
}

// schedule lets the spell begin crowdDelay from now.
func (c *crowd) schedule() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginAt = time.Now().Add(crowdDelay)
}

// spell returns when the spell begins and ends.
func (c *crowd) spell() (from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.beginAt, c.beginAt.Add(crowdTime)
}

// target returns the box that a caller's next connection goes to, if the spell decides.
func (c *crowd) target(now time.Time, r *rand.Rand) (int, bool) {
	if !c.enabled {
		return 0, false
	}
	from, until := c.spell()
	if from.IsZero() || now.Before(from) || now.After(until) || r.Float64() >= crowdShare {
		return 0, false
	}
	return c.box, true
}

// checkCrowd checks that the box, if nothing else happened to it, serves about as often during the spell as all boxes did before.
func (r *Report) checkCrowd(f *fleet, results []callResult) {
	c := f.crowd
	if !c.enabled || !f.isUndisturbed(c.box) {
		return
	}
	from, until := c.spell()
	var served, sent [2]int // of all boxes before, and of the box during the spell
	for _, s := range results {
		at := 0
		switch {
		case s.startedAt.After(until), s.key != emulator.Key: // the other key may be revoked
			continue
		case !s.startedAt.Before(from) && s.box == c.box:
			at = 1
		case !s.startedAt.Before(from):
			continue
		}
		sent[at]++
		if s.Status == http.StatusOK && s.IsComplete {
			served[at]++
		}
	}
	if sent[0] == 0 || sent[1] == 0 || sent[1]-served[1] <= allowedFailures {
		return
	}
	if float64(served[1])/float64(sent[1]) < minCrowdShare*float64(served[0])/float64(sent[0]) {
		r.addViolation("RECOVER: %s served %d of %d requests while most callers came there; before, %d of %d were served", f.boxes[c.box].settings.Name, served[1], sent[1], served[0], sent[0])
	}
}
