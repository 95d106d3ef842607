package core

import (
	"cmp"
	"slices"
	"time"
)

// PartRecord is the gossip record of a part of prompts at which endpoints crashed.
type PartRecord struct {
	Part    PromptPart    `cbor:"1,keyasint"`
	Crashes []PartCrash   `cbor:"2,keyasint,omitempty"`
	IsSound bool          `cbor:"3,keyasint,omitempty"` // a request with the part was answered
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // time since then, at the sender
}

// These constants bound the records in one message and how often each is sent. A record of one
// crash takes about 75 bytes, one of maxSentCrashes 280.
const (
	// maxSentCrashes bounds the crashes in a record, of which the latest are sent: enough to make a
	// part suspected at a box that knows none of them.
	maxSentCrashes = 8
	// maxRepeatedParts bounds the new records of parts with several crashes or that were cleared.
	maxRepeatedParts = 8
	// maxSingleParts bounds the new records of one crash.
	maxSingleParts = 8
	// maxStandingParts bounds the records with several crashes that aren't new. With eight gossip
	// messages per second they take 4.5 of the 23 KB/s that a box may use for control traffic.
	maxStandingParts = 2
)

// Merge merges records from another box. It returns the parts of which this box learned something,
// and those that the other box counts crashes against although this box knows better.
func (q *PartQuarantine) Merge(now time.Time, received []PartRecord) (updated, outdated []PromptPart) {
	for _, record := range received {
		changed := record.IsSound && q.mergeSound(now, record.Part, now.Add(-max(record.Age, 0)))
		isOutdated := false
		for _, crash := range record.Crashes {
			at := now.Add(-max(crash.Age, 0))
			isOutdated = isOutdated || !at.After(q.lastSound(record.Part))
			changed = q.addCrash(now, record.Part, crash.Endpoint, partCrash{
				at:      at,
				request: crash.Request,
				runTime: crash.RunTime,
			}) || changed
		}
		if changed {
			updated = append(updated, record.Part)
		}
		if isOutdated {
			outdated = append(outdated, record.Part)
			if r := q.records[record.Part]; r != nil {
				r.timesSent = 0
			}
		}
	}
	return updated, outdated
}

// Records returns the gossip records of parts.
func (q *PartQuarantine) Records(now time.Time, parts []PromptPart) []PartRecord {
	records := make([]PartRecord, 0, len(parts))
	for _, part := range parts {
		records = append(records, q.toRecord(now, part))
	}
	return records
}

// Sample returns the records for one message to another box: new ones, and some that still count
// against a part. Records that were sent least often go first. It also removes expired records.
func (q *PartQuarantine) Sample(now time.Time) []PartRecord {
	q.removeExpired(now)
	var repeated, single, standing []PromptPart
	for part, r := range q.records {
		switch {
		case len(r.crashes) == 1:
			if r.timesSent < singleRecordSends {
				single = append(single, part)
			}
		case r.timesSent < repeatedRecordSends:
			repeated = append(repeated, part)
		case len(r.crashes) > 1:
			standing = append(standing, part)
		}
	}
	chosen := slices.Concat(q.leastSent(repeated, maxRepeatedParts), q.leastSent(single, maxSingleParts), q.leastSent(standing, maxStandingParts))
	for _, part := range chosen {
		q.records[part].timesSent++
	}
	return q.Records(now, chosen)
}

// leastSent returns up to limit parts whose records were sent least often.
func (q *PartQuarantine) leastSent(parts []PromptPart, limit int) []PromptPart {
	return leastSent(parts, func(part PromptPart) dissemination { return q.records[part].dissemination }, comparePromptParts, limit)
}

// toRecord returns what is known of a part as a gossip record.
func (q *PartQuarantine) toRecord(now time.Time, part PromptPart) PartRecord {
	record := PartRecord{Part: part}
	if at := q.lastSound(part); !at.IsZero() {
		record.IsSound = true
		record.Age = now.Sub(at)
	}
	r := q.records[part]
	if r == nil {
		return record
	}
	for endpoint, crash := range r.crashes {
		record.Crashes = append(record.Crashes, PartCrash{
			Endpoint: endpoint,
			Request:  crash.request,
			Age:      now.Sub(crash.at),
			RunTime:  crash.runTime,
		})
	}
	slices.SortFunc(record.Crashes, func(a, b PartCrash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	record.Crashes = record.Crashes[:min(len(record.Crashes), maxSentCrashes)]
	return record
}
