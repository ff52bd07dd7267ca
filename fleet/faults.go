package fleet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid matches every *Faults in errors.Is.
const ErrInvalid = errors.ConstError("invalid fleet file")

// Fault is one fault of a fleet file.
type Fault struct {
	Line    int    `json:"line"`    // from 1
	Path    string `json:"path"`    // such as "hosts[3].pool"; empty for the whole file
	Problem string `json:"problem"` // what is wrong
	Change  string `json:"change"`  // what to change
}

// Faults holds all faults of one fleet file, sorted by line.
type Faults struct {
	File string  `json:"file"`
	List []Fault `json:"list"` // at least one
}

// Error returns one line for each fault.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, x := range f.List {
		lines = append(lines, x.line(f.File))
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (f *Faults) Is(target error) bool { return target == ErrInvalid }

func (x Fault) line(file string) string {
	where := fmt.Sprintf("%s:%d:", file, x.Line)
	if x.Path != "" {
		where += " " + x.Path + ":"
	}
	return where + " " + x.Problem + "; " + x.Change
}

func (f *Faults) sort() {
	slices.SortStableFunc(f.List, func(a, b Fault) int { return a.Line - b.Line })
}
