package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid means that settings have faults; the error text lists all of them, one a line.
const ErrInvalid = errors.ConstError("invalid settings")

// Fault is one fault of the settings.
type Fault struct {
	Where string // file and line, or the flag
	Field string // such as "listen.callers"; empty for the file as a whole
	Text  string
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Field == "" {
		return f.Where + ": " + f.Text
	}
	return f.Where + ": " + f.Field + ": " + f.Text
}

// Load reads the settings file and applies flags, which map fields such as "listen.callers" to their text. Paths in the
// settings are relative to the directory of the file. It returns ErrInvalid with all faults found.
func Load(file string, flags map[string]string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{}
	c := &checker{file: file, dir: filepath.Dir(file), lines: map[string]int{}, flags: flags}
	if c.decode(data, s) {
		c.override(s)
		c.defaults(s)
		c.check(s)
	}
	if len(c.faults) > 0 {
		return nil, fmt.Errorf("%s: %w", c.text(), ErrInvalid)
	}
	return s, nil
}

// checker collects the faults of one settings file.
type checker struct {
	file   string
	dir    string
	lines  map[string]int // field, line in the file
	flags  map[string]string
	faults []Fault
	broken map[string]bool // fields whose value could not be read
}

// faultf notes a fault of a field, at the flag or the line that set it.
func (c *checker) faultf(field, format string, args ...any) {
	if c.broken[field] {
		return
	}
	where := fmt.Sprintf("%s:%d", c.file, c.line(field))
	if _, ok := c.flags[field]; ok {
		where = "flag -" + field
	}
	c.faults = append(c.faults, Fault{Where: where, Field: field, Text: fmt.Sprintf(format, args...)})
}

// unreadablef notes a value that can't be read, so that the check does not report it a second time.
func (c *checker) unreadablef(field, format string, args ...any) {
	c.faultf(field, format, args...)
	if c.broken == nil {
		c.broken = map[string]bool{}
	}
	c.broken[field] = true
}

// line returns the line of a field, or that of the object that should have it.
func (c *checker) line(field string) int {
	for {
		if n := c.lines[field]; n > 0 {
			return n
		}
		cut := strings.LastIndexByte(field, '.')
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

// text lists the faults in the order of the file, those of flags last.
func (c *checker) text() string {
	sort.SliceStable(c.faults, func(i, j int) bool {
		return c.order(c.faults[i]) < c.order(c.faults[j])
	})
	lines := make([]string, len(c.faults))
	for i, f := range c.faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func (c *checker) order(f Fault) int {
	if _, ok := c.flags[f.Field]; ok {
		return 1 << 30
	}
	return c.line(f.Field)
}

// path returns a path of the settings relative to the directory of the file.
func (c *checker) path(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(c.dir, name)
}
