package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"
)

// reader walks a parsed document and collects its faults.
type reader struct {
	file   string
	source []byte
	faults Faults
}

func (r *reader) line(offset int) int {
	return 1 + bytes.Count(r.source[:min(offset, len(r.source))], []byte("\n"))
}

func (r *reader) fault(at int, what, remedy string) {
	r.faults = append(r.faults, Fault{
		File:   r.file,
		Line:   r.line(at),
		What:   what,
		Remedy: remedy,
	})
}

func (r *reader) warn(line int, what, remedy string) {
	r.faults = append(r.faults, Fault{
		File:    r.file,
		Line:    line,
		What:    what,
		Remedy:  remedy,
		Warning: true,
	})
}

// object is one JSON object with the members that were not yet asked for.
type object struct {
	r       *reader
	at      int
	what    string
	members map[string]*hujson.Value
}

func (r *reader) object(v *hujson.Value, what string) *object {
	o := &object{
		r:       r,
		at:      v.StartOffset,
		what:    what,
		members: make(map[string]*hujson.Value),
	}
	parsed, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(v.StartOffset, what+" is not an object", "write it as { ... }")
		return o
	}
	for i := range parsed.Members {
		m := &parsed.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if _, twice := o.members[name]; twice {
			r.fault(m.Name.StartOffset, fmt.Sprintf("field %q stands twice in %s", name, what), "keep one of them")
		}
		o.members[name] = &m.Value
	}
	return o
}

func (o *object) take(name string) *hujson.Value {
	v := o.members[name]
	delete(o.members, name)
	return v
}

// done reports each member that no section asked for.
func (o *object) done() {
	for name, v := range o.members {
		o.r.fault(v.StartOffset, fmt.Sprintf("unknown field %q in %s", name, o.what), "remove it or correct its spelling; docs/CONFIGURATION.md lists the fields")
	}
}

func scalar[T any](o *object, name string, into *T, remedy string) bool {
	v := o.take(name)
	if v == nil {
		return false
	}
	if err := json.Unmarshal(v.Pack(), into); err != nil {
		o.r.fault(v.StartOffset, fmt.Sprintf("field %q in %s has the wrong type", name, o.what), remedy)
		return false
	}
	return true
}

func (o *object) text(name string, into *string) bool {
	return scalar(o, name, into, "write a string in quotes")
}

func (o *object) name(into *string) {
	if !o.text("name", into) || *into == "" {
		o.r.fault(o.at, o.what+" has no name", `add "name" with a text that no other has`)
	}
}

func (o *object) flag(name string, into *bool) {
	scalar(o, name, into, "write true or false")
}

func (o *object) texts(name string, into *[]string) {
	scalar(o, name, into, "write a list of strings")
}

func (o *object) whole(name string, into *int, least, most int) {
	v := o.members[name]
	if !scalar(o, name, into, "write a whole number") {
		return
	}
	if *into < least || *into > most {
		o.r.fault(v.StartOffset, fmt.Sprintf("field %q in %s is %d", name, o.what, *into), fmt.Sprintf("write a number from %d to %d", least, most))
	}
}

func (o *object) real(name string, into *float64, least, most float64) {
	v := o.members[name]
	if !scalar(o, name, into, "write a number") {
		return
	}
	if *into < least || *into > most {
		o.r.fault(v.StartOffset, fmt.Sprintf("field %q in %s is %g", name, o.what, *into), fmt.Sprintf("write a number from %g to %g", least, most))
	}
}

func (o *object) duration(name string, into *time.Duration, least, most time.Duration) {
	v := o.members[name]
	var text string
	if !scalar(o, name, &text, `write a duration as "500ms" or "2s"`) {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		o.r.fault(v.StartOffset, fmt.Sprintf("field %q in %s is no duration", name, o.what), `write it as "500ms" or "2s"`)
		return
	}
	if d < least || d > most {
		o.r.fault(v.StartOffset, fmt.Sprintf("field %q in %s is %s", name, o.what, d), fmt.Sprintf("write a duration from %s to %s", least, most))
	}
	*into = d
}

func (o *object) address(name string, into *netip.AddrPort) {
	v := o.members[name]
	var text string
	if !scalar(o, name, &text, `write "IP:port"`) {
		if v == nil {
			o.r.fault(o.at, fmt.Sprintf("%s has no %q", o.what, name), `add it as "IP:port"`)
		}
		return
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		o.r.fault(v.StartOffset, fmt.Sprintf("field %q in %s is no address by IP number", name, o.what), `write "IP:port", such as "127.0.0.1:9001"`)
		return
	}
	*into = parsed
}

func list[T any](o *object, name, what string, parse func(*object) T) []T {
	v := o.take(name)
	if v == nil {
		return nil
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		o.r.fault(v.StartOffset, fmt.Sprintf("field %q is not a list", name), "write it as [ ... ]")
		return nil
	}
	parsed := make([]T, 0, len(array.Elements))
	for i := range array.Elements {
		inner := o.r.object(&array.Elements[i], fmt.Sprintf("%s %d", what, i+1))
		parsed = append(parsed, parse(inner))
		inner.done()
	}
	return parsed
}
