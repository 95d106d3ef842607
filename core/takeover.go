package core

import (
	"slices"
	"strings"
	"time"
)

// Epoch is a list that was replaced, kept while its homes may still matter.
type Epoch struct {
	List *List
	Next uint64        // version of the list that replaced it
	Left time.Duration // time for which it still matters
	till time.Time
}

// Handover is what one home tells its successor.
type Handover struct {
	From        Box
	To          string
	ListVersion uint64
	Final       bool // From grants nothing more
	Settled     bool // From itself knows the past
	Records     []ClaimRecord
	Epochs      []Epoch
	Earlier     time.Duration // guard left because of an earlier life of To
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

// takeover is what a home knows of those who were home before it.
type takeover struct {
	epochs     []Epoch
	heirOf     map[string]uint64 // list version at which a box handed over
	known      map[string]life   // lives of other boxes that were met
	settled    bool
	blindUntil time.Time
}

type life struct {
	incarnation Incarnation
	replacedAt  time.Time
}

func newTakeover() takeover {
	return takeover{
		heirOf: make(map[string]uint64),
		known:  make(map[string]life),
	}
}

type proof int

const (
	proofWhole proof = iota
	proofPending
	proofMissing
)

func (h *Home) adopted(now time.Time, e ListAdopted) []Command {
	if h.reading.List != nil && e.List.Version <= h.reading.List.Version {
		return nil
	}
	h.remember(now, e.List)
	h.reading = Reading{
		List:        e.List,
		ConfirmedAt: e.At,
	}
	return h.handoverDue(now)
}

// remember keeps the replaced list as an epoch. A box that starts takes the
// list without itself as the one before; a gap in versions leaves it blind.
func (h *Home) remember(now time.Time, next *List) {
	old := h.reading.List
	if old == nil {
		old = next.Without(h.self.Name)
		h.take.settled = len(old.Boxes) == 0 || next.Age <= h.rules.BootSlack
	} else if next.Version > old.Version+1 {
		h.take.settled = false
		h.blind(now.Add(h.rules.Guard))
	}
	h.take.epochs = append(h.take.epochs, Epoch{
		List: old,
		Next: next.Version,
		till: now.Add(h.rules.Guard),
	})
}

func (h *Home) blind(until time.Time) {
	if until.After(h.take.blindUntil) {
		h.take.blindUntil = until
	}
}

// restartSeen tells that an earlier life of this box was met by another.
func (h *Home) restartSeen(now time.Time, left time.Duration) {
	if left > 0 && h.guards.on(GuardClaimRestart) && now.Sub(h.started) < h.rules.Guard {
		h.blind(now.Add(left))
	}
}

// provable tells whether every box that may have granted a key before has
// handed over, or is past its guard time.
func (h *Home) provable(now time.Time, key ClaimKey) proof {
	if !h.guards.on(GuardClaimTakeover) {
		return proofWhole
	}
	if now.Before(h.take.blindUntil) {
		return proofMissing
	}
	if !h.take.settled && now.Sub(h.started) < h.rules.Guard {
		return proofPending
	}
	for i := range h.take.epochs {
		ep := &h.take.epochs[i]
		before := ep.List.Home(ClaimScope(key), nil)
		if before == "" || before == h.self.Name || now.After(ep.till) {
			continue
		}
		if h.take.heirOf[before] < ep.Next {
			return proofMissing
		}
	}
	return proofWhole
}

func (h *Home) handoverAsked(now time.Time, e HandoverAsked) []Command {
	earlier := h.meet(now, e.From)
	if h.reading.List == nil {
		return nil
	}
	if e.ListVersion > h.reading.List.Version {
		return []Command{ListWanted{Version: e.ListVersion}}
	}
	return []Command{HandoverSent{Handover: h.handover(now, e.From.Name, earlier)}}
}

// meet notes a life of another box and gives the guard time that is left if an
// earlier one was known.
func (h *Home) meet(now time.Time, other Box) time.Duration {
	k, met := h.take.known[other.Name]
	if !met {
		h.take.known[other.Name] = life{incarnation: other.Incarnation}
		return 0
	}
	if other.Incarnation > k.incarnation {
		k = life{
			incarnation: other.Incarnation,
			replacedAt:  now,
		}
		h.take.known[other.Name] = k
		delete(h.take.heirOf, other.Name)
		h.boxLost(now, BoxLost{Box: Box{
			Name:        other.Name,
			Incarnation: other.Incarnation - 1,
		}})
	}
	if k.replacedAt.IsZero() {
		return 0
	}
	return max(0, h.rules.Guard-now.Sub(k.replacedAt))
}

func (h *Home) handover(now time.Time, to string, earlier time.Duration) Handover {
	out := Handover{
		From:        h.self,
		To:          to,
		ListVersion: h.reading.List.Version,
		Final:       h.retired,
		Settled:     h.take.settled && !now.Before(h.take.blindUntil),
		Earlier:     earlier,
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
		if left := ep.till.Sub(now); left > 0 {
			ep.Left = left
			out.Epochs = append(out.Epochs, ep)
		}
	}
	return out
}

func (h *Home) successor(key ClaimKey) string {
	return h.reading.List.Home(ClaimScope(key), func(box string) bool {
		return h.retired && box == h.self.Name
	})
}

func (h *Home) sortedKeys() []ClaimKey {
	keys := make([]ClaimKey, 0, len(h.records))
	for key := range h.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ClaimKey) int { return strings.Compare(ClaimScope(a), ClaimScope(b)) })
	return keys
}

const heirForGood = ^uint64(0)

func (h *Home) handoverArrived(now time.Time, e HandoverArrived) {
	in := e.Handover
	h.meet(now, in.From)
	if k := h.take.known[in.From.Name]; k.incarnation != in.From.Incarnation {
		return
	}
	h.restartSeen(now, in.Earlier)
	for _, r := range in.Records {
		h.learn(now, r)
	}
	for _, ep := range in.Epochs {
		h.learnEpoch(now, ep)
	}
	h.take.settled = h.take.settled || in.Settled
	h.take.heirOf[in.From.Name] = max(h.take.heirOf[in.From.Name], in.ListVersion)
	if in.Final {
		h.take.heirOf[in.From.Name] = heirForGood
	}
}

func (h *Home) learn(now time.Time, r ClaimRecord) {
	mine := h.records[r.Key]
	ended := mine != nil && mine.Attempt == r.Attempt && mine.State == ClaimGranted
	if mine != nil && mine.State != ClaimNotRun && !ended {
		return
	}
	r.changed = now.Add(-r.SettleAt)
	h.records[r.Key] = &r
}

func (h *Home) learnEpoch(now time.Time, ep Epoch) {
	for _, known := range h.take.epochs {
		if known.Next == ep.Next && known.List.Version == ep.List.Version {
			return
		}
	}
	ep.till = now.Add(ep.Left)
	h.take.epochs = append(h.take.epochs, ep)
}

// handoverDue asks every earlier home that hasn't handed over yet.
func (h *Home) handoverDue(now time.Time) []Command {
	if h.reading.List == nil {
		return nil
	}
	if h.retired {
		return h.retire(now)
	}
	h.sweep(now)
	h.take.epochs = slices.DeleteFunc(h.take.epochs, func(ep Epoch) bool { return now.After(ep.till) })
	wanted := make(map[string]bool)
	for _, ep := range h.take.epochs {
		for i := range ep.List.Boxes {
			m := &ep.List.Boxes[i]
			if m.Name != h.self.Name && h.take.heirOf[m.Name] < ep.Next {
				wanted[m.Name] = true
			}
		}
	}
	if !h.take.settled {
		for i := range h.reading.List.Boxes {
			wanted[h.reading.List.Boxes[i].Name] = true
		}
	}
	delete(wanted, h.self.Name)
	return h.ask(wanted)
}

func (h *Home) ask(wanted map[string]bool) []Command {
	names := make([]string, 0, len(wanted))
	for name := range wanted {
		names = append(names, name)
	}
	slices.Sort(names)
	commands := make([]Command, 0, len(names))
	for _, name := range names {
		commands = append(commands, HandoverWanted{
			From:        name,
			ListVersion: h.reading.List.Version,
		})
	}
	return commands
}

// retire hands everything to the successors and grants nothing more.
func (h *Home) retire(now time.Time) []Command {
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
		commands = append(commands, HandoverSent{Handover: h.handover(now, name, 0)})
	}
	return commands
}
