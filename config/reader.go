package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"
)

// reader converts a parsed document to its Go types and collects faults.
type reader struct {
	file   string
	source []byte
	faults Faults
}

// line returns the number of the line at an offset.
func (r *reader) line(offset int) int {
	return 1 + bytes.Count(r.source[:min(offset, len(r.source))], []byte("\n"))
}

func (r *reader) addFault(offset int, problem, remedy string) {
	r.faults = append(r.faults, Fault{
		File:    r.file,
		Line:    r.line(offset),
		Problem: problem,
		Remedy:  remedy,
	})
}

func (r *reader) addWarning(line int, problem, remedy string) {
	r.faults = append(r.faults, Fault{
		File:    r.file,
		Line:    line,
		Problem: problem,
		Remedy:  remedy,
		Warning: true,
	})
}

// jsonObject is a JSON object with the members that have not been read yet.
type jsonObject struct {
	r           *reader
	offset      int    // in the document
	description string // for faults
	members     map[string]*hujson.Value
}

func (r *reader) jsonObject(v *hujson.Value, description string) *jsonObject {
	o := &jsonObject{
		r:           r,
		offset:      v.StartOffset,
		description: description,
		members:     make(map[string]*hujson.Value),
	}
	parsed, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addFault(v.StartOffset, description+" is not an object", "write it as { ... }")
		return o
	}
	for i := range parsed.Members {
		m := &parsed.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if _, isDuplicate := o.members[name]; isDuplicate {
			r.addFault(m.Name.StartOffset, fmt.Sprintf("field %q is set twice in %s", name, description), "keep one of them")
		}
		o.members[name] = &m.Value
	}
	return o
}

// takeMember removes and returns a member, or nil.
func (o *jsonObject) takeMember(name string) *hujson.Value {
	v := o.members[name]
	delete(o.members, name)
	return v
}

// reportUnknownMembers reports the members that have not been read.
func (o *jsonObject) reportUnknownMembers() {
	for name, v := range o.members {
		o.r.addFault(v.StartOffset, fmt.Sprintf("unknown field %q in %s", name, o.description), "remove it or correct its name; docs/CONFIGURATION.md lists the fields")
	}
}

// readScalar decodes a member into dst and reports whether it was there and valid.
func readScalar[T any](o *jsonObject, name string, dst *T, remedy string) bool {
	v := o.takeMember(name)
	if v == nil {
		return false
	}
	if err := json.Unmarshal(v.Pack(), dst); err != nil {
		o.r.addFault(v.StartOffset, fmt.Sprintf("field %q in %s has the wrong type", name, o.description), remedy)
		return false
	}
	return true
}

func (o *jsonObject) readString(name string, dst *string) bool {
	return readScalar(o, name, dst, "write a string in quotes")
}

func (o *jsonObject) readName(dst *string) {
	if !o.readString("name", dst) || *dst == "" {
		o.r.addFault(o.offset, o.description+" has no name", `add a unique "name"`)
	}
}

func (o *jsonObject) readBool(name string, dst *bool) {
	readScalar(o, name, dst, "write true or false")
}

func (o *jsonObject) readStrings(name string, dst *[]string) {
	readScalar(o, name, dst, "write a list of strings")
}

func (o *jsonObject) readInt(name string, dst *int, minimum, maximum int) {
	v := o.members[name]
	if !readScalar(o, name, dst, "write a whole number") {
		return
	}
	if *dst < minimum || *dst > maximum {
		o.r.addFault(v.StartOffset, fmt.Sprintf("field %q in %s is %d", name, o.description, *dst), fmt.Sprintf("write a number from %d to %d", minimum, maximum))
	}
}

func (o *jsonObject) real(name string, dst *float64, minimum, maximum float64) {
	v := o.members[name]
	if !readScalar(o, name, dst, "write a number") {
		return
	}
	if *dst < minimum || *dst > maximum {
		o.r.addFault(v.StartOffset, fmt.Sprintf("field %q in %s is %g", name, o.description, *dst), fmt.Sprintf("write a number from %g to %g", minimum, maximum))
	}
}

func (o *jsonObject) readDuration(name string, dst *time.Duration, minimum, maximum time.Duration) {
	v := o.members[name]
	var text string
	if !readScalar(o, name, &text, `write a duration such as "500ms" or "2s"`) {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		o.r.addFault(v.StartOffset, fmt.Sprintf("field %q in %s is not a duration", name, o.description), `write a duration such as "500ms" or "2s"`)
		return
	}
	if d < minimum || d > maximum {
		o.r.addFault(v.StartOffset, fmt.Sprintf("field %q in %s is %s", name, o.description, d), fmt.Sprintf("write a duration from %s to %s", minimum, maximum))
	}
	*dst = d
}

func (o *jsonObject) readAddress(name string, dst *netip.AddrPort) {
	v := o.members[name]
	var text string
	if !readScalar(o, name, &text, `write "IP:port"`) {
		if v == nil {
			o.r.addFault(o.offset, fmt.Sprintf("%s has no %q", o.description, name), `add it as "IP:port"`)
		}
		return
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		o.r.addFault(v.StartOffset, fmt.Sprintf("field %q in %s is not an IP address and port", name, o.description), `write "IP:port", such as "127.0.0.1:9001"`)
		return
	}
	*dst = parsed
}

// readList parses a member that is a list of objects.
func readList[T any](o *jsonObject, name, kind string, parse func(*jsonObject) T) []T {
	v := o.takeMember(name)
	if v == nil {
		return nil
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		o.r.addFault(v.StartOffset, fmt.Sprintf("field %q is not a list", name), "write it as [ ... ]")
		return nil
	}
	parsed := make([]T, 0, len(array.Elements))
	for i := range array.Elements {
		element := o.r.jsonObject(&array.Elements[i], fmt.Sprintf("%s %d", kind, i+1))
		parsed = append(parsed, parse(element))
		element.reportUnknownMembers()
	}
	return parsed
}
