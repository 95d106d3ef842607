package core

import (
	"slices"
	"strings"
	"time"
)

// ReplacedList is a list that was replaced, kept while its homes may still matter.
type ReplacedList struct {
	List *List
	Next uint64        // version of the list that replaced it
	Age  time.Duration // since it was replaced, in a message
	at   time.Time
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

func (h *ClaimOwner) handoverAsked(now time.Time, e HandoverAsked) []Command {
	earlier := h.meet(now, e.From)
	if h.reading.List == nil {
		return nil
	}
	if e.ListVersion > h.reading.List.Version {
		return []Command{ListWanted{Version: e.ListVersion}}
	}
	if e.ListVersion < h.reading.List.Version {
		return nil // what is the asker's by its list may not be by this one
	}
	return []Command{HandoverSent{Handover: h.handover(now, e.From.Name, earlier)}}
}

func (h *ClaimOwner) handover(now time.Time, to string, earlier bool) Handover {
	out := Handover{
		From:        h.self,
		To:          to,
		ListVersion: h.reading.List.Version,
		Final:       h.retired,
		Settled:     h.take.settled,
		Earlier:     earlier,
	}
	if !h.take.blindSince.IsZero() {
		out.Blind = true
		out.BlindAge = now.Sub(h.take.blindSince)
	}
	for _, key := range h.sortedKeys() {
		r := h.records[key]
		if h.successor(key) == to {
			copied := *r
			copied.SettleAt = now.Sub(r.changed)
			out.Records = append(out.Records, copied)
		}
	}
	for _, ep := range h.take.epochs {
		ep.Age = now.Sub(ep.at)
		out.Epochs = append(out.Epochs, ep)
	}
	return out
}

func (h *ClaimOwner) successor(key ClaimKey) string {
	return h.reading.List.ClaimOwner(ClaimScope(key), func(box string) bool {
		return h.retired && box == h.self.Name
	})
}

func (h *ClaimOwner) sortedKeys() []ClaimKey {
	keys := make([]ClaimKey, 0, len(h.records))
	for key := range h.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ClaimKey) int { return strings.Compare(ClaimScope(a), ClaimScope(b)) })
	return keys
}

func (h *ClaimOwner) handoverArrived(now time.Time, e HandoverArrived) {
	in := e.Handover
	h.meet(now, in.From)
	if h.reading.List == nil || h.take.known[in.From.Name].incarnation != in.From.Incarnation {
		return
	}
	if in.Earlier {
		h.restartSeen()
	}
	for _, r := range in.Records {
		h.learn(now, r)
	}
	for _, ep := range in.Epochs {
		h.learnEpoch(now, ep)
	}
	h.settle(in)
	if in.Settled && in.ListVersion == h.reading.List.Version {
		h.inherit(now, in)
	}
}

func (h *ClaimOwner) learn(now time.Time, r ClaimRecord) {
	mine := h.records[r.Key]
	ended := mine != nil && mine.Attempt == r.Attempt && mine.State == ClaimGranted
	if mine != nil && mine.State != ClaimNotRun && !ended {
		return
	}
	r.changed = now.Add(-r.SettleAt)
	h.records[r.Key] = &r
}

func (h *ClaimOwner) learnEpoch(now time.Time, ep ReplacedList) {
	for _, known := range h.take.epochs {
		if known.Next == ep.Next && known.List.Version == ep.List.Version {
			return
		}
	}
	ep.at = now.Add(-ep.Age)
	h.take.epochs = append(h.take.epochs, ep)
}

// retire hands everything to the successors and grants nothing more.
func (h *ClaimOwner) retire(now time.Time) []Command {
	h.retired = true
	if h.reading.List == nil {
		return nil
	}
	var commands []Command
	for i := range h.reading.List.Boxes {
		name := h.reading.List.Boxes[i].Name
		if name == h.self.Name {
			continue
		}
		commands = append(commands, HandoverSent{Handover: h.handover(now, name, false)})
	}
	return commands
}
