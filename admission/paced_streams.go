package admission

import (
	"slices"
	"time"
)

const (
	// initialStreamTime is the assumed duration of a pause-sensitive stream before one has
	// been observed.
	initialStreamTime = 5 * time.Second
	// remoteStreamLives is the multiple of the average duration after which another box's
	// stream no longer counts, in case the message of its end was lost.
	remoteStreamLives = 3
	// streamLearningWeight is the weight of the latest stream in the average duration and size.
	streamLearningWeight = 0.05
)

// pacedStream is a pause-sensitive stream at an engine that has met its target so far.
type pacedStream struct {
	since     time.Time
	announced int // tokens that the boxes were notified of, to match its end to its begin
	remote    bool
}

// BeginStream counts a pause-sensitive stream at an engine, of this box or another one, for
// which the given number of tokens is announced. Size is the number of tokens that its caller
// is owed, or 0 if unknown.
func (b *Balancer) BeginStream(now time.Time, endpoint string, announced, size int, remote bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(endpoint)
	b.dropLostStreams(now, l)
	l.pacedStreams = append(l.pacedStreams, pacedStream{
		since:     now,
		announced: announced,
		remote:    remote,
	})
	if size > 0 {
		if b.streamSize == 0 {
			b.streamSize = float64(size)
		}
		b.streamSize += streamLearningWeight * (float64(size) - b.streamSize)
	}
}

// EndStream ends a stream that was counted by BeginStream, because it ended, was moved or
// missed its pause target.
func (b *Balancer) EndStream(now time.Time, endpoint string, announced int, remote bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[endpoint]
	if l == nil {
		return
	}
	b.dropLostStreams(now, l)
	i := slices.IndexFunc(l.pacedStreams, func(s pacedStream) bool { return s.announced == announced && s.remote == remote })
	if i < 0 {
		return
	}
	took := now.Sub(l.pacedStreams[i].since)
	b.streamTime += time.Duration(streamLearningWeight * float64(took-b.streamTime))
	l.pacedStreams = slices.Delete(l.pacedStreams, i, i+1)
}

// dropLostStreams drops other boxes' streams that are likely to have ended.
func (b *Balancer) dropLostStreams(now time.Time, l *endpointLoad) {
	oldest := b.oldestRemoteStream(now)
	l.pacedStreams = slices.DeleteFunc(l.pacedStreams, func(s pacedStream) bool { return s.remote && s.since.Before(oldest) })
}

// oldestRemoteStream returns the earliest begin of another box's stream that still counts.
func (b *Balancer) oldestRemoteStream(now time.Time) time.Time {
	return now.Add(-remoteStreamLives * b.streamTime)
}

// pacedStreamCount returns the number of pause-sensitive streams at an engine that have met
// their target so far.
func (b *Balancer) pacedStreamCount(now time.Time, l *endpointLoad) int {
	n := 0
	oldest := b.oldestRemoteStream(now)
	for i := range l.pacedStreams {
		if s := &l.pacedStreams[i]; !s.remote || !s.since.Before(oldest) {
			n++
		}
	}
	return n
}

// PromptCount returns the number of prompts that the group's boxes have sent to an engine, as
// far as this box knows. A stream's exposures are the difference between its begin and end.
func (b *Balancer) PromptCount(endpoint string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[endpoint]; l != nil {
		return l.prompts
	}
	return 0
}

// ObservePace records the time between events of a stream at an engine of a service; see
// PaceTable.ObservePace.
func (b *Balancer) ObservePace(now time.Time, service, endpoint string, interval time.Duration) (PaceChange, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paceTable(service).ObservePace(now, endpoint, interval)
}

// ObserveStream records the exposures of a stream at an engine of a service; see
// PaceTable.ObserveStream.
func (b *Balancer) ObserveStream(now time.Time, service, endpoint string, exposures int, broken bool) (PaceClass, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paceTable(service).ObserveStream(now, endpoint, exposures, broken)
}

// PaceSummaries returns the pace classes of each service with pause-sensitive streams.
func (b *Balancer) PaceSummaries(now time.Time) map[string][]PaceClassSummary {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]PaceClassSummary)
	for service, t := range b.paces {
		out[service] = t.Summaries(now)
	}
	return out
}

// paceTable returns the table of a service, creating it if needed. The caller holds mu.
func (b *Balancer) paceTable(service string) *PaceTable {
	t := b.paces[service]
	if t == nil {
		t = NewPaceTable()
		b.paces[service] = t
	}
	return t
}
