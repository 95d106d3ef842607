package core

import (
	"slices"
	"strings"
	"time"
)

// ReplacedList is a box list that was replaced. It is kept while its claim owners
// may have granted keys that now belong to others.
type ReplacedList struct {
	List       *List
	Next       uint64        // version of the list that replaced it
	Age        time.Duration // time since it was replaced, in a handover
	replacedAt time.Time
}

// Handover is the message in which a claim owner sends its records and what it knows
// about earlier owners to another box. It is encoded with its field names.
type Handover struct {
	From        Box
	To          string
	ListVersion uint64
	Final       bool // From is stopping and grants nothing more
	Settled     bool // From knows the history of claim owners
	Blind       bool // From lost older records, BlindAge ago
	BlindAge    time.Duration
	Records     []ClaimRecord
	Epochs      []ReplacedList
	Earlier     bool // From knew an earlier process of To
}

// HandoverAsked reports that a successor requests a handover.
type HandoverAsked struct {
	EventBase
	From        Box
	ListVersion uint64
}

// HandoverArrived reports that a handover arrived.
type HandoverArrived struct {
	EventBase
	Handover Handover
}

// HandoverDue reports that it is time to request missing handovers.
type HandoverDue struct{ EventBase }

// Retire reports that this box stops and must hand over all records.
type Retire struct{ EventBase }

// HandoverSent asks the shell to send a handover.
type HandoverSent struct {
	CommandBase
	Handover Handover
}

// HandoverWanted asks the shell to request a handover from a box.
type HandoverWanted struct {
	CommandBase
	From        string
	ListVersion uint64
}

func (o *ClaimOwner) handleHandoverAsked(now time.Time, e HandoverAsked) []Command {
	restarted := o.recordPeer(now, e.From)
	if o.snapshot.List == nil {
		return nil
	}
	if e.ListVersion > o.snapshot.List.Version {
		return []Command{ListWanted{Version: e.ListVersion}}
	}
	if e.ListVersion < o.snapshot.List.Version {
		return nil // keys of the asker may belong to another box under the newer list
	}
	return []Command{HandoverSent{Handover: o.buildHandover(now, e.From.Name, restarted)}}
}

func (o *ClaimOwner) buildHandover(now time.Time, to string, restarted bool) Handover {
	out := Handover{
		From:        o.self,
		To:          to,
		ListVersion: o.snapshot.List.Version,
		Final:       o.retired,
		Settled:     o.takeover.historyKnown,
		Earlier:     restarted,
	}
	if !o.takeover.recordsLostAt.IsZero() {
		out.Blind = true
		out.BlindAge = now.Sub(o.takeover.recordsLostAt)
	}
	for _, key := range o.sortedKeys() {
		r := o.records[key]
		if o.successor(key) == to {
			copied := *r
			copied.SettleAt = now.Sub(r.changedAt)
			out.Records = append(out.Records, copied)
		}
	}
	for _, replaced := range o.takeover.replacedLists {
		replaced.Age = now.Sub(replaced.replacedAt)
		out.Epochs = append(out.Epochs, replaced)
	}
	return out
}

func (o *ClaimOwner) successor(key ClaimKey) string {
	return o.snapshot.List.ClaimOwner(ClaimScope(key), func(box string) bool {
		return o.retired && box == o.self.Name
	})
}

func (o *ClaimOwner) sortedKeys() []ClaimKey {
	keys := make([]ClaimKey, 0, len(o.records))
	for key := range o.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ClaimKey) int { return strings.Compare(ClaimScope(a), ClaimScope(b)) })
	return keys
}

func (o *ClaimOwner) handleHandoverArrived(now time.Time, e HandoverArrived) {
	in := e.Handover
	o.recordPeer(now, in.From)
	if o.snapshot.List == nil || o.takeover.peers[in.From.Name].incarnation != in.From.Incarnation {
		return
	}
	if in.Earlier {
		o.markRestarted()
	}
	for _, r := range in.Records {
		o.mergeRecord(now, r)
	}
	for _, replaced := range in.Epochs {
		o.mergeReplacedList(now, replaced)
	}
	o.mergeHistory(in)
	if in.Settled && in.ListVersion == o.snapshot.List.Version {
		o.recordHandover(now, in)
	}
}

func (o *ClaimOwner) mergeRecord(now time.Time, r ClaimRecord) {
	existing := o.records[r.Key]
	sameAttempt := existing != nil && existing.Attempt == r.Attempt && existing.State == ClaimGranted
	if existing != nil && existing.State != ClaimNotRun && !sameAttempt {
		return
	}
	r.changedAt = now.Add(-r.SettleAt)
	o.records[r.Key] = &r
}

func (o *ClaimOwner) mergeReplacedList(now time.Time, replaced ReplacedList) {
	for _, known := range o.takeover.replacedLists {
		if known.Next == replaced.Next && known.List.Version == replaced.List.Version {
			return
		}
	}
	replaced.replacedAt = now.Add(-replaced.Age)
	o.takeover.replacedLists = append(o.takeover.replacedLists, replaced)
}

// handOverAll sends all records to their successors and stops granting.
func (o *ClaimOwner) handOverAll(now time.Time) []Command {
	o.retired = true
	if o.snapshot.List == nil {
		return nil
	}
	var commands []Command
	for i := range o.snapshot.List.Boxes {
		name := o.snapshot.List.Boxes[i].Name
		if name == o.self.Name {
			continue
		}
		commands = append(commands, HandoverSent{Handover: o.buildHandover(now, name, false)})
	}
	return commands
}
