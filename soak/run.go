package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

const (
	faultCount = 8
	faultPause = 700 * time.Millisecond
	undoAfter  = 2 * time.Second
	// recoveryTime bounds how long boxes take to serve again after all faults;
	// the platform's own bound.
	recoveryTime = 12 * time.Second
	// applyTime is the time in which a published change is in force, with the
	// slack that a busy machine needs.
	applyTime = 4 * time.Second
	// storeCalm is how long the store must have been well for bounds to run.
	storeCalm = 5 * time.Second
)

// Report is the verdict on one seed.
type Report struct {
	Seed       uint64
	Planned    bool
	Faults     []string
	Requests   int
	Served     int
	Deadly     int      // engines that a deadly request reached
	Violations []string // promises that were broken, with the request
	Folder     string   // of the boxes' logs
}

// String gives the report in a few lines.
func (r *Report) String() string {
	kind := "mixed"
	if r.Planned {
		kind = "planned"
	}
	line := fmt.Sprintf("seed %d (%s): %d of %d served, %d broken; %s", r.Seed, kind, r.Served, r.Requests, len(r.Violations), strings.Join(r.Faults, ", "))
	if r.Deadly > 0 {
		line += fmt.Sprintf("; a request that no engine survives reached %d", r.Deadly)
	}
	for _, b := range r.Violations {
		line += "\n  " + b
	}
	return line
}

// Option changes how a seed is played.
type Option func(*options)

type options struct {
	boxes int
}

// WithBoxes gives how many boxes run; without it, three.
func WithBoxes(boxes int) Option {
	return func(o *options) { o.boxes = boxes }
}

// Run plays one seed with the program of a box; logs go to the folder. Every
// third seed has planned work only.
func Run(program, folder string, seed uint64, opts ...Option) (*Report, error) {
	o := options{boxes: fewBoxes}
	for _, option := range opts {
		option(&o)
	}
	f, err := startFleet(program, folder, o.boxes)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	planned := seed%3 == 0
	c := startCallers(f, seed)
	d := startRepeater(f, seed, planned)
	i := newInjector(f, seed, planned)
	notices := newAnnouncer(f, seed)
	notices.begin()
	comesBack := newDrill(i, seed)
	time.Sleep(faultPause)
	for range faultCount {
		i.revive()
		i.replaceEnded()
		i.inject()
		comesBack.step()
		time.Sleep(time.Duration(i.r.Int64N(int64(2 * faultPause))))
		if i.r.IntN(2) == 0 {
			i.undoOne()
		}
	}
	time.Sleep(undoAfter)
	for len(i.undo) > 0 {
		i.undoOne()
	}
	r := &Report{
		Seed:    seed,
		Planned: planned,
		Folder:  folder,
	}
	notices.end()
	i.revive()
	i.replaceEnded()
	r.recovers(f)
	r.Violations = append(r.Violations, i.ends...)
	all := c.stop()
	r.Faults = append(i.done, notices.String())
	r.judge(f, i, all)
	r.judgeNotices(f, notices, all)
	r.judgeDeadly(f, d.stop())
	return r, nil
}

func (i *injector) undoOne() {
	if len(i.undo) == 0 {
		return
	}
	undo := i.undo[0]
	i.undo = i.undo[1:]
	undo()
}

func (r *Report) breaks(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// recovers checks that each box serves again once nothing troubles it.
func (r *Report) recovers(f *fleet) {
	limit := time.Now().Add(recoveryTime)
	for n, b := range f.boxes {
		caller := emulator.NewCaller(b.settings.Front, emulator.Key)
		for try := 0; ; try++ {
			ctx, cancel := context.WithTimeout(context.Background(), 2*callDeadline)
			o := caller.Do(ctx, emulator.Call{
				ID:       fmt.Sprintf("recovery-%d-%d-%d", r.Seed, n, try),
				Method:   http.MethodPost,
				Path:     emulator.CallPath,
				Deadline: callDeadline,
			})
			cancel()
			if o.Status == http.StatusOK && o.Fault == "" {
				break
			}
			if time.Now().After(limit) {
				r.breaks("RECOVER: %s doesn't serve %s after the last fault: status %d", b.settings.Name, recoveryTime, o.Status)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (r *Report) judge(f *fleet, i *injector, all []seen) {
	runs := f.deployment.Runs()
	for _, s := range all {
		r.Requests++
		if s.Status == http.StatusOK && s.IsComplete && s.Fault == "" {
			r.Served++
		}
		if s.Fault != "" {
			r.breaks("MIXED or ORDER: %s", s.Fault)
		}
		if s.stream && s.Status == http.StatusOK && s.IsComplete && s.Events != streamEvents {
			r.breaks("ORDER: stream %s looked complete after %d events", s.ID, s.Events)
		}
		first := 0
		for _, run := range runs[s.ID] {
			if run.ResumedFrom == "" {
				first++
			}
			if run.Key != "" {
				r.breaks("the key of %s was shown to a server", s.ID)
			}
		}
		if s.kind != "repeat" && first > 1 {
			r.breaks("TWICE: %s ran %d times", s.ID, first)
		}
		if s.PromisesNotRun() && len(runs[s.ID]) > 0 {
			r.breaks("REFUSED: %s was told %d and ran", s.ID, s.Status)
		}
		if s.kind == "repeat" && first > 2 {
			r.breaks("BUDGET: %s ran at %d servers", s.ID, first)
		}
	}
	r.judgePlanned(i, all, runs)
	r.judgeLeaving(f, i, runs)
	r.judgeKeys(i, all)
}

// judgePlanned checks that planned work cuts no request that a server runs.
func (r *Report) judgePlanned(i *injector, all []seen, runs map[string][]emulator.Run) {
	if !i.planned {
		return
	}
	for _, s := range all {
		if s.Status == 0 && len(runs[s.ID]) > 0 && s.ended.Sub(s.began) < graceSeconds*time.Second/2 {
			r.breaks("LOST: %s was sent on and its connection closed without an answer", s.ID)
		}
		if s.stream && s.Status == http.StatusOK && !s.IsComplete {
			r.breaks("LOST: stream %s was cut by planned work after %d events", s.ID, s.Events)
		}
	}
}

// judgeLeaving checks that a server that leaves gets no new requests beyond the
// bound, where the store was calm.
func (r *Report) judgeLeaving(f *fleet, i *injector, runs map[string][]emulator.Run) {
	for _, s := range f.servers {
		if s.left.IsZero() || i.storeNear(s.left) {
			continue
		}
		for id, all := range runs {
			for _, run := range all {
				if run.Server == s.ID && run.ResumedFrom == "" && run.StartedAt.After(s.left.Add(applyTime)) && !i.paused(f) {
					r.breaks("DRAIN: %s reached %s %s after it was leaving", id, s.ID, run.StartedAt.Sub(s.left))
				}
			}
		}
	}
}

// judgeKeys checks that a key that was taken away isn't served beyond the bound.
func (r *Report) judgeKeys(i *injector, all []seen) {
	if i.revoked.IsZero() || i.storeNear(i.revoked) {
		return
	}
	for _, s := range all {
		if s.key == emulator.OtherKey && s.Status == http.StatusOK && s.began.After(i.revoked.Add(applyTime)) && !i.paused(i.fleet) {
			r.breaks("CONFIG: %s was served %s after its key was taken away", s.ID, s.began.Sub(i.revoked))
		}
	}
}

// storeNear tells whether the store was troubled around a time.
func (i *injector) storeNear(at time.Time) bool {
	for _, t := range i.storeAt {
		if t.After(at.Add(-storeCalm)) && t.Before(at.Add(applyTime+storeCalm)) {
			return true
		}
	}
	return false
}

// paused tells whether any box was killed or paused: its view may be older.
func (i *injector) paused(f *fleet) bool {
	for _, b := range f.boxes {
		if len(b.hurt) > 0 {
			return true
		}
	}
	return false
}
