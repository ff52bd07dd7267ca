package fleet

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// source collects faults and finds their lines in the file. If root is nil, all lines are 1.
type source struct {
	data     []byte
	root     *hujson.Value
	faults   *Faults
	reported map[string]bool // paths that have a fault; no second one is reported for them
}

// add reports a fault at a path of field names and indexes, unless a fault was already reported there.
func (s *source) add(problem, change string, path ...any) {
	name := pathName(path)
	if s.reported[name] {
		return
	}
	s.reported[name] = true
	f := Fault{Line: s.line(path...), Path: name, Problem: problem, Change: change}
	s.faults.List = append(s.faults.List, f)
}

// line returns the line of the longest prefix of path that exists in the file.
func (s *source) line(path ...any) int {
	if s.root == nil {
		return 1
	}
	v := s.root
	for _, p := range path {
		next := child(v, p)
		if next == nil {
			break
		}
		v = next
	}
	return s.lineAt(v.StartOffset)
}

func (s *source) lineAt(offset int) int { return 1 + countLines(s.data[:offset]) }

func child(v *hujson.Value, step any) *hujson.Value {
	switch step := step.(type) {
	case int:
		if a, ok := v.Value.(*hujson.Array); ok && step < len(a.Elements) {
			return &a.Elements[step]
		}
	case string:
		o, ok := v.Value.(*hujson.Object)
		if !ok {
			return nil
		}
		for i := range o.Members {
			if memberName(&o.Members[i]) == step {
				return &o.Members[i].Value
			}
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

func countLines(data []byte) int { return bytes.Count(data, []byte("\n")) }

// pathName formats a path, such as "hosts[3].pool".
func pathName(path []any) string {
	var b strings.Builder
	for _, p := range path {
		switch p := p.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", p)
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(p)
		}
	}
	return b.String()
}
