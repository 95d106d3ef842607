package trace

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/core"
)

// HomeBegun is the first event of a claim owner.
type HomeBegun struct {
	core.EventBase
	Self  core.Box
	Rules core.ClaimRules
}

// GenerationBegun is the first event of a stream.
type GenerationBegun struct {
	core.EventBase
	Repeatable bool
	Rules      core.GenerationRules
}

// HoldBegun is the first event of the ownership of an endpoint's slot.
type HoldBegun struct {
	core.EventBase
	Rules core.LeaseRules
}

// ModelBegun is the first event of a model's admission.
type ModelBegun struct {
	core.EventBase
	ExpectTokens int
	MaxWait      time.Duration
}

// CallBegun is the first event of a call to the operators' platform. Budget reports whether the
// retry budget allows another attempt.
type CallBegun struct {
	core.EventBase
	Rules  core.CallRules
	Budget bool
}

// eventTypes holds the types of the events in a trace by name. The names are part of the trace
// format, so renaming a type would make older traces unreadable.
var eventTypes = eventTypesByName(
	HomeBegun{},
	GenerationBegun{},
	HoldBegun{},
	ModelBegun{},
	CallBegun{},
	core.CallPlaced{},
	core.CallUnplaced{},
	core.CallQuarantined{},
	core.CallUnsent{},
	core.CallRefused{},
	core.CallAnswered{},
	core.CallDeclined{},
	core.CallBroken{},
	core.CallProgressed{},
	core.CallCompleted{},
	core.CallExpired{},
	core.CallInterrupted{},
	core.CallAbandoned{},
	core.VersionOffered{},
	core.VersionHeard{},
	core.Placed{},
	core.Sending{},
	core.Refused{},
	core.FrameArrived{},
	core.LinkLost{},
	core.GenerationGone{},
	core.CallerGone{},
	core.CallerLeft{},
	core.CallerSlow{},
	core.ListAdopted{},
	core.ListConfirmed{},
	core.ClaimAsked{},
	core.ClaimSettled{},
	core.ClaimGuardSet{},
	core.BoxLost{},
	core.HandoverAsked{},
	core.HandoverArrived{},
	core.HandoverDue{},
	core.Retire{},
	core.HoldTaken{},
	core.HoldLost{},
	core.EndpointLeaving{},
	core.PredecessorGone{},
	core.HoldTicked{},
	admission.RequestArrived{},
	admission.RequestWithdrawn{},
	admission.LeaseArrived{},
	admission.TokensMade{},
	admission.GenerationEnded{},
	admission.EndpointsChanged{},
	admission.Ticked{},
)

func eventTypesByName(events ...core.Event) map[string]reflect.Type {
	all := make(map[string]reflect.Type, len(events))
	for _, ev := range events {
		t := reflect.TypeOf(ev)
		all[t.Name()] = t
	}
	return all
}

// epoch is the start time to which recorded times are shifted.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Epoch returns the virtual time at which a replay starts.
func Epoch() time.Time { return epoch }

// encode returns an event's type name and JSON, with its times shifted from start to epoch.
func encode(ev core.Event, start time.Time) (string, json.RawMessage, error) {
	shifted := shiftTimes(reflect.ValueOf(ev), epoch.Sub(start.Round(0)))
	data, err := json.Marshal(shifted.Interface())
	return reflect.TypeOf(ev).Name(), data, err
}

// Decode decodes an event by its type name.
func Decode(name string, data json.RawMessage) (core.Event, error) {
	t, known := eventTypes[name]
	if !known {
		return nil, errors.Errorf("unknown event %q: not among the events of docs/TRACES.md", name)
	}
	v := reflect.New(t)
	if len(data) > 0 {
		if err := json.Unmarshal(data, v.Interface()); err != nil {
			return nil, errors.Wrapf(err, "decode data of event %s", name)
		}
	}
	return v.Elem().Interface().(core.Event), nil
}

// shiftTimes returns a copy of a struct with its times moved by a duration, so that a trace does
// not depend on when it was recorded.
func shiftTimes(v reflect.Value, by time.Duration) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	out.Set(v)
	for i := range out.NumField() {
		f := out.Field(i)
		if !f.CanSet() {
			continue
		}
		if at, ok := f.Interface().(time.Time); ok && !at.IsZero() {
			f.Set(reflect.ValueOf(at.Round(0).Add(by)))
			continue
		}
		if f.Kind() == reflect.Struct {
			if _, isBase := f.Interface().(core.EventBase); !isBase {
				f.Set(shiftTimes(f, by))
			}
		}
	}
	return out
}
