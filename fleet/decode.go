package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"cuminstair.org/cuminstair"
)

// decoder fills Go values from a syntax tree. Unlike encoding/json it continues after a fault, rejects unknown and
// repeated fields and reports the line of each fault.
type decoder struct {
	src  *source
	path []any
}

func (d *decoder) fault(problem, change string) { d.src.add(problem, change, slices.Clone(d.path)...) }

// at runs fn with step appended to the path.
func (d *decoder) at(step any, fn func()) {
	d.path = append(d.path, step)
	fn()
	d.path = d.path[:len(d.path)-1]
}

func (d *decoder) value(v *hujson.Value, out reflect.Value) {
	if u, ok := out.Addr().Interface().(json.Unmarshaler); ok {
		d.quantity(v, u)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(v, out)
	case reflect.Slice:
		d.array(v, out)
	default:
		d.scalar(v, out)
	}
}

// quantity decodes a string with a unit, a duration or a number of bytes.
func (d *decoder) quantity(v *hujson.Value, u json.Unmarshaler) {
	err := cuminstair.ErrDuration.Error()
	if _, ok := u.(*cuminstair.Bytes); ok {
		err = cuminstair.ErrBytes.Error()
	}
	lit, ok := v.Value.(hujson.Literal)
	if !ok || u.UnmarshalJSON(lit) != nil {
		d.fault(fmt.Sprintf("%s has the wrong unit or form", describe(v)), err)
	}
}

func (d *decoder) object(v *hujson.Value, out reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(describe(v)+" is not an object", "write an object in braces")
		return
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(o.Members))
	for i := range o.Members {
		m := &o.Members[i]
		name := memberName(m)
		index, known := fields[name]
		d.at(name, func() {
			switch {
			case !known:
				d.fault(fmt.Sprintf("unknown field %q", name), suggest(name, fields))
			case seen[name]:
				d.repeated(m, name)
			default:
				d.value(&m.Value, out.Field(index))
			}
		})
		seen[name] = true
	}
}

// repeated reports a field that is set twice in one object, on the line of the second occurrence.
func (d *decoder) repeated(m *hujson.ObjectMember, name string) {
	f := Fault{Line: d.src.lineAt(m.Name.StartOffset), Path: pathName(d.path)}
	f.Problem = fmt.Sprintf("field %q is set twice", name)
	f.Change = "remove one of them"
	d.src.faults.List = append(d.src.faults.List, f)
}

func (d *decoder) array(v *hujson.Value, out reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(describe(v)+" is not a list", "write a list in square brackets")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.at(i, func() { d.value(&a.Elements[i], out.Index(i)) })
	}
}

func (d *decoder) scalar(v *hujson.Value, out reflect.Value) {
	want := map[reflect.Kind]string{
		reflect.String:  "a string in double quotes",
		reflect.Bool:    "true or false",
		reflect.Int:     "a whole number",
		reflect.Float64: "a number",
	}[out.Kind()]
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' || json.Unmarshal(lit, out.Addr().Interface()) != nil {
		d.fault(describe(v)+" is not "+want, "write "+want)
	}
}

// describe returns a value as it is shown in messages. It shortens long literals.
func describe(v *hujson.Value) string {
	const maxShown = 40 // bytes
	switch x := v.Value.(type) {
	case hujson.Literal:
		if len(x) > maxShown {
			return strings.ToValidUTF8(string(x[:maxShown]), "") + "..."
		}
		return string(x)
	case *hujson.Array:
		return "a list"
	default:
		return "an object"
	}
}

// fieldsOf returns the index of each JSON field of a struct.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

// suggest proposes a known field with a similar name, or else lists all known fields.
func suggest(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	slices.Sort(names)
	for _, f := range names {
		if distance(strings.ToLower(name), f) <= 2 {
			return fmt.Sprintf("did you mean %q?", f)
		}
	}
	return "known fields here are " + strings.Join(names, ", ")
}

// distance returns the Levenshtein distance of two short words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
