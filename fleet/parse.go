// Package fleet reads fleet files, checks them, splits a fleet into sections and compares fleets. It does no I/O.
package fleet

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"cuminstair.org/cuminstair"
)

const (
	// maxFileSize limits a fleet file, in bytes. 28,000 hosts take about 5 MB.
	maxFileSize = 64 << 20
	// maxDepth limits the nesting of brackets, because the parser recurses. A fleet file needs 5 levels.
	maxDepth = 32
)

var syntaxLine = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

// Parse reads a fleet file in JSON with comments. name is the file name in messages. The error is a *Faults with all
// faults that were found.
func Parse(name string, data []byte) (*cuminstair.Fleet, error) {
	faults := &Faults{File: name}
	if len(data) > maxFileSize {
		faults.List = []Fault{{Line: 1, Problem: "the file is too large", Change: "keep it below 64 MiB"}}
		return nil, faults
	}
	if line := tooDeep(data); line > 0 {
		faults.List = []Fault{{Line: line, Problem: "brackets are nested too deeply", Change: "close the brackets"}}
		return nil, faults
	}
	root, err := hujson.Parse(data)
	if err != nil {
		faults.List = []Fault{syntaxFault(err)}
		return nil, faults
	}
	src := &source{data: data, root: &root, faults: faults, reported: make(map[string]bool)}
	f := &cuminstair.Fleet{}
	dec := &decoder{src: src}
	dec.value(&root, reflect.ValueOf(f).Elem())
	check(src, f)
	if len(faults.List) > 0 {
		faults.sort()
		return nil, faults
	}
	return f, nil
}

// Check returns a *Faults if a fleet that was not read from a file breaks a rule. Fault.Line is 1 in all faults.
func Check(f *cuminstair.Fleet) error {
	faults := &Faults{File: f.Name}
	check(&source{faults: faults, reported: make(map[string]bool)}, f)
	if len(faults.List) > 0 {
		return faults
	}
	return nil
}

func syntaxFault(err error) Fault {
	line, text := 1, err.Error()
	if m := syntaxLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	return Fault{Line: line, Problem: fmt.Sprintf("not JSON with comments: %s", text), Change: "correct the syntax here"}
}

// tooDeep returns the line on which the brackets outside strings and comments are nested deeper than maxDepth, or 0.
func tooDeep(data []byte) int {
	depth, line := 0, 1
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '\n':
			line++
		case '"':
			i = skipString(data, i)
		case '/':
			end := skipComment(data, i)
			line += countLines(data[i:end])
			i = max(i, end-1)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return line
		}
	}
	return 0
}

// skipString returns the position of the closing quote of the string that starts at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"' && data[i] != '\n'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	if i < len(data) && data[i] == '\n' {
		i-- // The string is unclosed; the caller counts the line.
	}
	return i
}

// skipComment returns the position after the comment that starts at i, or i if there is none.
func skipComment(data []byte, i int) int {
	if i+1 >= len(data) {
		return i
	}
	switch data[i+1] {
	case '/':
		for i < len(data) && data[i] != '\n' {
			i++
		}
	case '*':
		for i += 2; i < len(data); i++ {
			if data[i] == '/' && data[i-1] == '*' {
				return i + 1
			}
		}
	}
	return i
}
