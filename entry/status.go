package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"dillsaddle.example/dillsaddle/wire"
)

// Status is what an operator sees of a box.
type Status struct {
	Box           string               `json:"box"`
	Zone          string               `json:"zone"`
	ConfigVersion uint64               `json:"config_version"`
	ListVersion   uint64               `json:"list_version"`
	ListAge       string               `json:"list_age"`
	Drain         string               `json:"drain"`
	Requests      int                  `json:"requests"`
	Models        []ModelStatus        `json:"models"`
	Suspected     []string             `json:"suspected"`
	Scheduler     wire.SchedulerStatus `json:"scheduler"`
}

// ModelStatus is one model's admission on a box.
type ModelStatus struct {
	Model   string         `json:"model"`
	Running int            `json:"running"`
	Waiting map[string]int `json:"waiting"`
	Leases  []LeaseStatus  `json:"leases"`
}

// LeaseStatus is one lease that an entry holds.
type LeaseStatus struct {
	Endpoint string `json:"endpoint"`
	TimeLeft string `json:"left"`
}

// Status gives the box's status, the scheduler's part included.
func (e *Entry) Status() any {
	v := e.state.View()
	versions := e.state.Versions()
	s := Status{
		Box:           e.settings.Name,
		Zone:          e.settings.Zone,
		ConfigVersion: versions.Config,
		ListVersion:   versions.List,
		ListAge:       time.Since(v.ConfirmedAt).Round(time.Millisecond).String(),
		Drain:         string(e.drainState()),
		Requests:      e.working(),
		Suspected:     v.Suspected,
	}
	e.models.Each(func(_ string, m *model) { s.Models = append(s.Models, m.status()) })
	slices.SortFunc(s.Models, func(a, b ModelStatus) int { return strings.Compare(a.Model, b.Model) })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if answer, err := wire.Request[wire.SchedulerStatus](ctx, e.pool, e.settings.Scheduler, wire.StatusRequest{}); err == nil {
		s.Scheduler = answer
	}
	return s
}

func (m *model) status() ModelStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := ModelStatus{
		Model:   m.name,
		Running: m.core.Running(),
		Waiting: m.core.WaitingByTier(),
	}
	for name, until := range m.until {
		if left := time.Until(until); left > 0 {
			s.Leases = append(s.Leases, LeaseStatus{
				Endpoint: name,
				TimeLeft: left.Round(time.Millisecond).String(),
			})
		}
	}
	slices.SortFunc(s.Leases, func(a, b LeaseStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return s
}
