package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"sort"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"cuminstair.org/cuminstair"
)

// decode parses the file and records the line of each field. It returns false if the file is not JSON with comments.
func (c *checker) decode(data []byte, s *Settings) bool {
	root, err := hujson.Parse(data)
	if err != nil {
		c.faults = append(c.faults, Fault{Where: c.file, Text: err.Error()})
		return false
	}
	c.object(data, "", &root, reflect.ValueOf(s).Elem())
	return true
}

// object decodes an object into a struct.
func (c *checker) object(data []byte, prefix string, node *hujson.Value, into reflect.Value) {
	object, ok := node.Value.(*hujson.Object)
	if !ok {
		c.unreadablef(strings.TrimSuffix(prefix, "."), "want an object")
		return
	}
	fields := fieldsOf(into)
	for i := range object.Members {
		m := &object.Members[i]
		name := prefix + memberName(&m.Name)
		if c.lines[name] > 0 {
			c.faultf(name, "is set a second time; the first is on line %d", c.lines[name])
			continue
		}
		c.lines[name] = 1 + bytes.Count(data[:m.Name.StartOffset], []byte("\n"))
		field, ok := fields[memberName(&m.Name)]
		if !ok {
			c.faultf(name, "unknown field; the fields here are: %s", strings.Join(sortedNames(fields), ", "))
			continue
		}
		if field.Kind() == reflect.Struct {
			c.object(data, name+".", &m.Value, field)
			continue
		}
		c.value(name, &m.Value, field)
	}
}

// value decodes a value that is not an object.
func (c *checker) value(name string, node *hujson.Value, into reflect.Value) {
	text := node.Clone()
	text.Standardize()
	err := json.Unmarshal(text.Pack(), into.Addr().Interface())
	if err == nil {
		return
	}
	if errors.Is(err, cuminstair.ErrDuration) {
		c.unreadablef(name, "%s", cuminstair.ErrDuration)
		return
	}
	c.unreadablef(name, "want %s", describeType(into.Type()))
}

// describeType describes the values that a field of type t accepts.
func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[cuminstair.Duration]():
		return string(cuminstair.ErrDuration)
	case t.Kind() == reflect.Slice:
		return "a list of strings"
	case t.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

func memberName(v *hujson.Value) string {
	if literal, ok := v.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}

// fieldsOf returns the fields of a struct by their JSON names.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("json")] = v.Field(i)
	}
	return fields
}

func sortedNames(fields map[string]reflect.Value) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
