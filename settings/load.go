package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid means that settings have faults; the error text lists all of them, one per line.
const ErrInvalid = errors.ConstError("invalid settings")

// Fault is one fault of the settings.
type Fault struct {
	Where string // the flag that set the field, or the file with the line; without the line if Text names it
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

// Load reads the settings file and applies flags, which map fields such as "listen.callers" to their values. Paths in
// the settings are relative to the directory of the file. Invalid settings give ErrInvalid with all faults found.
func Load(file string, flags map[string]string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{}
	c := &checker{file: file, dir: filepath.Dir(file), lines: map[string]int{}, flags: flags}
	if c.decode(data, s) {
		c.applyFlags(s)
		c.setDefaults(s)
		c.check(s)
	}
	if len(c.faults) > 0 {
		return nil, fmt.Errorf("%s: %w", c.message(), ErrInvalid)
	}
	return s, nil
}

// checker collects the faults of one settings file.
type checker struct {
	file       string
	dir        string
	lines      map[string]int // line of each field in the file
	flags      map[string]string
	faults     []Fault
	unreadable map[string]bool // fields whose value could not be read
}

// faultf records a fault of a field, with the flag or the line that set it. It does nothing if the field was unreadable.
func (c *checker) faultf(field, format string, args ...any) {
	if c.unreadable[field] {
		return
	}
	where := fmt.Sprintf("%s:%d", c.file, c.line(field))
	if _, ok := c.flags[field]; ok {
		where = "flag -" + field
	}
	c.faults = append(c.faults, Fault{Where: where, Field: field, Text: fmt.Sprintf(format, args...)})
}

// unreadablef records a value that can't be read, and suppresses further faults of the field.
func (c *checker) unreadablef(field, format string, args ...any) {
	c.faultf(field, format, args...)
	if c.unreadable == nil {
		c.unreadable = map[string]bool{}
	}
	c.unreadable[field] = true
}

// line returns the line of a field. For a missing field it is the line of the object that should have it.
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

// message lists the faults in the order of the file, followed by those of flags.
func (c *checker) message() string {
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

// resolve returns name as a path. A relative name is relative to the directory of the settings file.
func (c *checker) resolve(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(c.dir, name)
}
