package settings

import (
	"reflect"
	"sort"
	"strconv"
	"strings"

	"cuminstair.org/cuminstair"
)

// Names returns the names of all fields, such as "listen.callers", in alphabetical order. Each is also the name of a
// flag.
func Names() []string {
	var names []string
	walk("", reflect.ValueOf(&Settings{}).Elem(), func(name string, _ reflect.Value) { names = append(names, name) })
	sort.Strings(names)
	return names
}

// walk calls fn for each field that is not an object.
func walk(prefix string, v reflect.Value, fn func(name string, field reflect.Value)) {
	for name, field := range fieldsOf(v) {
		if field.Kind() == reflect.Struct {
			walk(prefix+name+".", field, fn)
			continue
		}
		fn(prefix+name, field)
	}
}

// applyFlags sets the fields that are given as flags.
func (c *checker) applyFlags(s *Settings) {
	fields := map[string]reflect.Value{}
	walk("", reflect.ValueOf(s).Elem(), func(name string, field reflect.Value) { fields[name] = field })
	for name, text := range c.flags {
		field, ok := fields[name]
		if !ok {
			c.faultf(name, "unknown field")
			continue
		}
		delete(c.unreadable, name)
		c.set(name, text, field)
	}
}

func (c *checker) set(name, text string, field reflect.Value) {
	switch value := field.Addr().Interface().(type) {
	case *string:
		*value = text
	case *[]string:
		*value = nil
		if text != "" {
			*value = strings.Split(text, ",")
		}
	case *float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			c.unreadablef(name, "want a number")
		}
		*value = number
	case *cuminstair.Duration:
		if err := value.UnmarshalJSON([]byte(strconv.Quote(text))); err != nil {
			c.unreadablef(name, "%s", cuminstair.ErrDuration)
		}
	}
}
