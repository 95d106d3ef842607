package watch

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/wire"
)

// State is what a process has in force: one configuration and one list. It
// never goes back to an older one.
type State struct {
	mu       sync.Mutex
	versions *core.Versions
	document *config.Document
	reading  core.ListSnapshot
	suspects []string
	log      *zap.Logger
	changed  []func(View)
}

// View is a copy of what is in force.
type View struct {
	Document    *config.Document
	List        *core.List
	ConfirmedAt time.Time
	Suspected   []string
}

// NewState starts with nothing in force.
func NewState(log *zap.Logger) *State {
	return &State{
		versions: core.NewVersions(),
		log:      log,
	}
}

// OnChange calls a function after each change, outside the lock.
func (s *State) OnChange(f func(View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = append(s.changed, f)
}

// View gives what is in force.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view()
}

func (s *State) view() View {
	return View{
		Document:    s.document,
		List:        s.reading.List,
		ConfirmedAt: s.reading.ConfirmedAt,
		Suspected:   s.suspects,
	}
}

// Versions gives the versions in force, for messages.
func (s *State) Versions() wire.Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := wire.Versions{
		Config: s.versions.Active,
		Digest: s.versions.Digest,
	}
	if s.reading.List != nil {
		v.List = s.reading.List.Version
	}
	return v
}

func (s *State) notify() {
	s.mu.Lock()
	view := s.view()
	callbacks := s.changed
	s.mu.Unlock()
	for _, f := range callbacks {
		f(view)
	}
}

// Offer puts a configuration in force if it is newer and without fault.
func (s *State) Offer(source []byte) bool {
	if len(source) == 0 {
		return false
	}
	d, faults := config.Parse("configuration", source)
	if s.offer(d, faults, source) {
		s.notify()
		return true
	}
	return false
}

func (s *State) offer(d *config.Document, faults config.Faults, source []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ev := core.VersionOffered{
		Version:  versionOf(d, source),
		Accepted: d != nil,
		Digest:   xxhash.Sum64(source),
	}
	for _, command := range s.versions.Step(ev) {
		switch c := command.(type) {
		case core.PutInForce:
			s.document = d
			configVersion.Set(float64(c.Version))
			s.log.Info("configuration in force", zap.Uint64("version", c.Version))
			return true
		case core.VersionRejected:
			s.reject(c, faults)
		}
	}
	return false
}

func (s *State) reject(c core.VersionRejected, faults config.Faults) {
	if c.Reason == core.RejectNotNewer {
		return
	}
	configRejected(string(c.Reason)).Inc()
	s.log.Warn("configuration not put in force",
		zap.Uint64("version", c.Version),
		zap.String("reason", string(c.Reason)),
		zap.Error(faults))
}

// versionOf reads the version of a faulty document as far as it can be read.
func versionOf(d *config.Document, source []byte) uint64 {
	if d != nil {
		return uint64(d.Version)
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal(source, &head)
	return head.Version
}

// Heard tells that another process named the versions that it has; it reports
// whether something newer can be fetched there.
func (s *State) Heard(v wire.Versions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := false
	for _, command := range s.versions.Step(core.VersionHeard{
		Version: v.Config,
		Digest:  v.Digest,
	}) {
		_, newer = command.(core.FetchVersion)
	}
	return newer || s.reading.List == nil && v.List > 0 || s.reading.List != nil && v.List > s.reading.List.Version
}

// Adopt takes a list that was the newest at a moment.
func (s *State) Adopt(list *core.List, at time.Time) {
	if s.adopt(list, at) {
		s.notify()
	}
}

func (s *State) adopt(list *core.List, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if list == nil || s.reading.List != nil && list.Version < s.reading.List.Version {
		return false
	}
	if s.reading.List != nil && list.Version == s.reading.List.Version {
		if at.After(s.reading.ConfirmedAt) {
			s.reading.ConfirmedAt = at
		}
		return false
	}
	s.reading = core.ListSnapshot{
		List:        list,
		ConfirmedAt: at,
	}
	listVersion.Set(float64(list.Version))
	s.log.Info("list of boxes in use", zap.Uint64("version", list.Version), zap.Int("boxes", len(list.Boxes)))
	return true
}

// Confirm tells that the list of a version was the newest at a moment.
func (s *State) Confirm(version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading.List != nil && version == s.reading.List.Version && at.After(s.reading.ConfirmedAt) {
		s.reading.ConfirmedAt = at
	}
}

// Suspect replaces the boxes that are suspected.
func (s *State) Suspect(boxes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects = boxes
}

// Snapshot gives what is in force as a message; texts only where they are newer
// than what the other side has.
func (s *State) Snapshot(have wire.Versions) wire.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := wire.Snapshot{
		ConfigVersion: s.versions.Active,
		ListAge:       time.Since(s.reading.ConfirmedAt),
		Suspected:     s.suspects,
	}
	if s.document != nil && (s.versions.Active > have.Config || s.versions.Digest != have.Digest) {
		out.Config = s.document.Source()
	}
	if s.reading.List == nil {
		return out
	}
	out.ListVersion = s.reading.List.Version
	if out.ListVersion > have.List {
		out.List = s.reading.List
	}
	return out
}

// Take puts a snapshot of another process in force where it is newer; asked is
// the moment before it was asked for.
func (s *State) Take(in wire.Snapshot, asked time.Time) {
	confirmed := asked.Add(-in.ListAge)
	s.Offer(in.Config)
	s.Adopt(in.List, confirmed)
	s.Confirm(in.ListVersion, confirmed)
}

func parseList(data []byte) (*core.List, error) {
	var l core.List
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errors.Wrap(err, "read the platform's list; it must be JSON as docs/API.md says")
	}
	if l.Version == 0 {
		return nil, errors.New("the platform's list has no version; it must be a whole number above 0")
	}
	return &l, nil
}
