package core

import (
	"slices"
	"strings"
	"time"
)

// ReplacedList is a list that was replaced, kept while its homes may still matter.
type ReplacedList struct {
	List       *List
	Next       uint64        // version of the list that replaced it
	Age        time.Duration // since it was replaced, in a message
	replacedAt time.Time
}

// Handover is what one home tells its successor.
type Handover struct {
	From        Box
	To          string
	ListVersion uint64
	Final       bool // From grants nothing more
	Settled     bool // From itself knows the past
	Blind       bool // From lost what was before, BlindAge ago
	BlindAge    time.Duration
	Records     []ClaimRecord
	Epochs      []ReplacedList
	Earlier     bool // From met an earlier life of To
}

// HandoverAsked tells that a successor wants what it takes over.
type HandoverAsked struct {
	EventBase
	From        Box
	ListVersion uint64
}

// HandoverArrived tells that a predecessor handed over.
type HandoverArrived struct {
	EventBase
	Handover Handover
}

// HandoverDue tells that it is time to ask those who haven't handed over.
type HandoverDue struct{ EventBase }

// Retire tells that this box stops and must hand over all it has.
type Retire struct{ EventBase }

// HandoverSent asks the shell to send a handover.
type HandoverSent struct {
	CommandBase
	Handover Handover
}

// HandoverWanted asks the shell to ask a box for its handover.
type HandoverWanted struct {
	CommandBase
	From        string
	ListVersion uint64
}

func (o *ClaimOwner) handleHandoverAsked(now time.Time, e HandoverAsked) []Command {
	earlier := o.recordPeer(now, e.From)
	if o.snapshot.List == nil {
		return nil
	}
	if e.ListVersion > o.snapshot.List.Version {
		return []Command{ListWanted{Version: e.ListVersion}}
	}
	if e.ListVersion < o.snapshot.List.Version {
		return nil // what is the asker's by its list may not be by this one
	}
	return []Command{HandoverSent{Handover: o.buildHandover(now, e.From.Name, earlier)}}
}

func (o *ClaimOwner) buildHandover(now time.Time, to string, earlier bool) Handover {
	out := Handover{
		From:        o.self,
		To:          to,
		ListVersion: o.snapshot.List.Version,
		Final:       o.retired,
		Settled:     o.takeover.historyKnown,
		Earlier:     earlier,
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
	for _, ep := range o.takeover.replacedLists {
		ep.Age = now.Sub(ep.replacedAt)
		out.Epochs = append(out.Epochs, ep)
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
	for _, ep := range in.Epochs {
		o.mergeReplacedList(now, ep)
	}
	o.mergeHistory(in)
	if in.Settled && in.ListVersion == o.snapshot.List.Version {
		o.recordHandover(now, in)
	}
}

func (o *ClaimOwner) mergeRecord(now time.Time, r ClaimRecord) {
	existing := o.records[r.Key]
	ended := existing != nil && existing.Attempt == r.Attempt && existing.State == ClaimGranted
	if existing != nil && existing.State != ClaimNotRun && !ended {
		return
	}
	r.changedAt = now.Add(-r.SettleAt)
	o.records[r.Key] = &r
}

func (o *ClaimOwner) mergeReplacedList(now time.Time, ep ReplacedList) {
	for _, known := range o.takeover.replacedLists {
		if known.Next == ep.Next && known.List.Version == ep.List.Version {
			return
		}
	}
	ep.replacedAt = now.Add(-ep.Age)
	o.takeover.replacedLists = append(o.takeover.replacedLists, ep)
}

// handOverAll hands everything to the successors and grants nothing more.
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
