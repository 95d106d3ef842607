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

// State holds a process's active configuration and list of boxes. Neither is ever
// replaced by an older version.
type State struct {
	mu        sync.Mutex
	versions  *core.Versions
	document  *config.Document
	snapshot  core.ListSnapshot
	suspected []string
	log       *zap.Logger
	listeners []func(View)
}

// View is a copy of the state at one time.
type View struct {
	Document    *config.Document
	List        *core.List
	ConfirmedAt time.Time
	Suspected   []string
}

// NewState returns a state without a configuration or list.
func NewState(log *zap.Logger) *State {
	return &State{
		versions: core.NewVersions(),
		log:      log,
	}
}

// OnChange registers a function to call, without the lock, after each change.
func (s *State) OnChange(f func(View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// View returns a copy of the current state.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view()
}

func (s *State) view() View {
	return View{
		Document:    s.document,
		List:        s.snapshot.List,
		ConfirmedAt: s.snapshot.ConfirmedAt,
		Suspected:   s.suspected,
	}
}

// Versions returns the active versions, as announced in messages.
func (s *State) Versions() wire.Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := wire.Versions{
		Config: s.versions.Active,
		Digest: s.versions.Digest,
	}
	if s.snapshot.List != nil {
		v.List = s.snapshot.List.Version
	}
	return v
}

func (s *State) notify() {
	s.mu.Lock()
	view := s.view()
	callbacks := s.listeners
	s.mu.Unlock()
	for _, f := range callbacks {
		f(view)
	}
}

// Activate makes a configuration active if it is newer and valid, and reports
// whether it did.
func (s *State) Activate(source []byte) bool {
	if len(source) == 0 {
		return false
	}
	d, faults := config.Parse("configuration", source)
	if s.activate(d, faults, source) {
		s.notify()
		return true
	}
	return false
}

func (s *State) activate(d *config.Document, faults config.Faults, source []byte) bool {
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
			s.log.Info("configuration activated", zap.Uint64("version", c.Version))
			return true
		case core.VersionRejected:
			s.recordRejection(c, faults)
		}
	}
	return false
}

func (s *State) recordRejection(c core.VersionRejected, faults config.Faults) {
	if c.Reason == core.RejectNotNewer {
		return
	}
	configRejected(string(c.Reason)).Inc()
	s.log.Warn("configuration rejected; keeping the active one",
		zap.Uint64("version", c.Version),
		zap.String("reason", string(c.Reason)),
		zap.Error(faults))
}

// versionOf returns the version of a document, even of an invalid one if possible.
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

// ObserveVersions records the versions announced by another process, and reports
// whether it has something newer to fetch.
func (s *State) ObserveVersions(v wire.Versions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := false
	for _, command := range s.versions.Step(core.VersionHeard{
		Version: v.Config,
		Digest:  v.Digest,
	}) {
		_, newer = command.(core.FetchVersion)
	}
	return newer || s.snapshot.List == nil && v.List > 0 || s.snapshot.List != nil && v.List > s.snapshot.List.Version
}

// AdoptList makes a list active that was the newest at a given time.
func (s *State) AdoptList(list *core.List, confirmedAt time.Time) {
	if s.adoptList(list, confirmedAt) {
		s.notify()
	}
}

func (s *State) adoptList(list *core.List, confirmedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if list == nil || s.snapshot.List != nil && list.Version < s.snapshot.List.Version {
		return false
	}
	if s.snapshot.List != nil && list.Version == s.snapshot.List.Version {
		if confirmedAt.After(s.snapshot.ConfirmedAt) {
			s.snapshot.ConfirmedAt = confirmedAt
		}
		return false
	}
	s.snapshot = core.ListSnapshot{
		List:        list,
		ConfirmedAt: confirmedAt,
	}
	listVersion.Set(float64(list.Version))
	s.log.Info("list of boxes activated", zap.Uint64("version", list.Version), zap.Int("boxes", len(list.Boxes)))
	return true
}

// ConfirmList records that the active list, if it has this version, was the newest
// at a given time.
func (s *State) ConfirmList(version uint64, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot.List != nil && version == s.snapshot.List.Version && confirmedAt.After(s.snapshot.ConfirmedAt) {
		s.snapshot.ConfirmedAt = confirmedAt
	}
}

// SetSuspected replaces the names of the suspected boxes.
func (s *State) SetSuspected(boxes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspected = boxes
}

// Snapshot returns the state as a message. It includes the configuration and the
// list only where they differ from or are newer than the known versions.
func (s *State) Snapshot(known wire.Versions) wire.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := wire.Snapshot{
		ConfigVersion: s.versions.Active,
		ListAge:       time.Since(s.snapshot.ConfirmedAt),
		Suspected:     s.suspected,
	}
	if s.document != nil && (s.versions.Active > known.Config || s.versions.Digest != known.Digest) {
		out.Config = s.document.Source()
	}
	if s.snapshot.List == nil {
		return out
	}
	out.ListVersion = s.snapshot.List.Version
	if out.ListVersion > known.List {
		out.List = s.snapshot.List
	}
	return out
}

// Apply activates whatever is newer in another process's snapshot. requestedAt is a
// time before the snapshot was requested.
func (s *State) Apply(in wire.Snapshot, requestedAt time.Time) {
	confirmedAt := requestedAt.Add(-in.ListAge)
	s.Activate(in.Config)
	s.AdoptList(in.List, confirmedAt)
	s.ConfirmList(in.ListVersion, confirmedAt)
}

func parseList(data []byte) (*core.List, error) {
	var l core.List
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errors.Wrap(err, "parse the platform's list; docs/API.md describes its JSON")
	}
	if l.Version == 0 {
		return nil, errors.New("the platform's list has version 0 or none; it must be a whole number above 0")
	}
	return &l, nil
}
