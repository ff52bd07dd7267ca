package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"cuminstair.org/cuminstair"
)

// Diff describes the changes from one fleet to another, in one line for each entry that was added, removed or changed.
// The order of lists is ignored.
func Diff(from, to *cuminstair.Fleet) []string {
	from, to = Canonical(from), Canonical(to)
	var out []string
	if from.Name != to.Name {
		out = append(out, fmt.Sprintf("name changed from %q to %q", from.Name, to.Name))
	}
	out = append(out, diffList("data centre", from.Centres, to.Centres, func(x *cuminstair.Centre) string { return x.Name })...)
	out = append(out, diffList("pool", from.Pools, to.Pools, func(x *cuminstair.Pool) string { return x.Name })...)
	out = append(out, diffList("host", from.Hosts, to.Hosts, func(x *cuminstair.Host) string { return x.Name })...)
	out = append(out, diffList("service", from.Services, to.Services, func(x *cuminstair.Service) string { return x.Name })...)
	out = append(out, diffList("team", from.Teams, to.Teams, func(x *cuminstair.Team) string { return x.Name })...)
	out = append(out, diffList("wave", from.Waves, to.Waves, func(x *cuminstair.Wave) string { return x.Name })...)
	return out
}

// diffList compares two lists that are sorted by name. noun is the kind of entry in the lines.
func diffList[T any](noun string, from, to []T, name func(*T) string) []string {
	var out []string
	oldByName := indexByName(from, name)
	newByName := indexByName(to, name)
	for i := range from {
		if newByName[name(&from[i])] == nil {
			out = append(out, fmt.Sprintf("removed %s %s", noun, name(&from[i])))
		}
	}
	for i := range to {
		n := name(&to[i])
		if oldByName[n] == nil {
			out = append(out, fmt.Sprintf("added %s %s", noun, n))
			continue
		}
		if changes := diffFields("", reflect.ValueOf(*oldByName[n]), reflect.ValueOf(to[i])); len(changes) > 0 {
			out = append(out, fmt.Sprintf("changed %s %s: %s", noun, n, strings.Join(changes, ", ")))
		}
	}
	return out
}

// diffFields returns the fields that differ, with their old and new values.
func diffFields(prefix string, from, to reflect.Value) []string {
	var out []string
	for i := range from.NumField() {
		a, b := from.Field(i), to.Field(i)
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			continue
		}
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		switch {
		case a.Kind() == reflect.Struct:
			out = append(out, diffFields(prefix+name+".", a, b)...)
		case a.Type() == reflect.TypeFor[[]cuminstair.Kind]():
			kindName := func(k *cuminstair.Kind) string { return k.Name }
			out = append(out, diffList("kind", a.Interface().([]cuminstair.Kind), b.Interface().([]cuminstair.Kind), kindName)...)
		default:
			out = append(out, fmt.Sprintf("%s%s from %s to %s", prefix, name, formatValue(a), formatValue(b)))
		}
	}
	return out
}

func formatValue(v reflect.Value) string {
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return "?"
	}
	return strings.Trim(string(data), `"`)
}

// Overlap returns the lines of a whose entry also has a line in b. Both are results of Diff.
func Overlap(a, b []string) []string {
	subjects := make(map[string]bool, len(b))
	for _, line := range b {
		subjects[subject(line)] = true
	}
	return slices.DeleteFunc(slices.Clone(a), func(line string) bool { return !subjects[subject(line)] })
}

// subject returns the entry that a line of Diff is about, such as "host h17".
func subject(line string) string {
	_, entry, _ := strings.Cut(line, " ")
	entry, _, _ = strings.Cut(entry, ":")
	return entry
}
