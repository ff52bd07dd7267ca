package cuminstair

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Errors of values with units.
const (
	ErrDuration = errors.ConstError(`a duration is a string such as "1500ms" or "10s"`)
	ErrBytes    = errors.ConstError(`a size is a string such as "128GB" or "64MB"`)
)

// Duration is a time.Duration that is encoded in JSON as a string with a unit, such as "1500ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string with a unit. It returns ErrDuration for anything else and for negative values.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("read %s: %w", data, ErrDuration)
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < 0 {
		return fmt.Errorf("read %q: %w", s, ErrDuration)
	}
	*d = Duration(v)
	return nil
}

// Bytes is a size in bytes that is encoded in JSON as a string with a unit, such as "128GB". Units are powers of 1000.
type Bytes int64

var byteUnits = []struct {
	suffix string
	size   int64
}{
	{"TB", 1e12},
	{"GB", 1e9},
	{"MB", 1e6},
	{"KB", 1e3},
	{"B", 1},
}

// String returns the size in the largest unit of which it is a multiple.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if int64(b) >= u.size && int64(b)%u.size == 0 {
			return strconv.FormatInt(int64(b)/u.size, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// MarshalJSON writes the size with its unit.
func (b Bytes) MarshalJSON() ([]byte, error) {
	return json.Marshal(b.String())
}

// UnmarshalJSON reads a string with a unit. It returns ErrBytes for anything else and for negative values.
func (b *Bytes) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("read %s: %w", data, ErrBytes)
	}
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.size {
			break
		}
		*b = Bytes(n * u.size)
		return nil
	}
	return fmt.Errorf("read %q: %w", s, ErrBytes)
}
