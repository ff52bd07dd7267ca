package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/trace"
)

// Replays each recorded trace and checks the outcomes stated in it. Also guards against non-idempotent requests that
// run twice, requests that ran but are reported as not run, and leaked slots or queue places (section 1.3 of
// docs/design.md).
func TestRecordedTraces(t *testing.T) {
	names, err := filepath.Glob("testdata/*.trace")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(names), 9)
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".trace"), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(name)
			is.NoErr(err)
			lines, err := trace.Read(bytes.NewReader(data))
			is.NoErr(err)
			p := trace.Player{}
			for _, c := range p.Play(lines) {
				t.Log(c)
				if !c.OK {
					t.Errorf("unexpected outcome: %s", c)
				}
			}
			for _, m := range []trace.Measure{trace.MeasureTwice, trace.MeasureFalse, trace.MeasureLeaked} {
				if got := p.Value(m, "", "", 0, time.Hour); got != 0 {
					t.Errorf("measure %s: got %g, want 0", m, got)
				}
			}
		})
	}
}

const fleetLine = `{"event": "fleet", "centres": 1, "daemons": 1, "hosts": 1, "slots": 1, "delay": "1s"}` + "\n"

// Guards against a reader that accepts invalid traces or reads only a part of a trace.
func TestReadFindsFaults(t *testing.T) {
	is := is.New(t)
	got, err := trace.Read(strings.NewReader("// comment\n\n" + fleetLine + `{"at": "1s", "event": "heal"} // why`))
	is.NoErr(err)
	is.Equal(len(got), 2)
	for name, text := range map[string]string{
		"no fleet":      `{"event": "heal"}`,
		"unknown event": fleetLine + `{"event": "nonsense"}`,
		"unknown field": fleetLine + `{"event": "heal", "colour": 1}`,
		"no bound":      fleetLine + `{"at": "1s", "event": "expect", "measure": "kept"}`,
		"no measure":    fleetLine + `{"at": "1s", "event": "expect", "measure": "x", "least": 1}`,
		"no unit":       fleetLine + `{"at": "1", "event": "heal"}`,
		"cut off":       fleetLine + `{"at": "1s", `,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := trace.Read(strings.NewReader(text))
			is := is.New(t)
			is.True(errors.Is(err, trace.ErrLine))
		})
	}
	_, err = trace.Read(strings.NewReader(fleetLine + "{\"at\": \"2s\", \"event\": \"heal\"}\n{\"at\": \"1s\", \"event\": \"heal\"}"))
	is.True(errors.Is(err, trace.ErrOrder))
}

// FuzzRead guards against input that makes the reader panic.
func FuzzRead(f *testing.F) {
	f.Add(fleetLine + `{"at": "1s", "event": "load", "kind": "a", "rate": 2} /* x */`)
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = trace.Read(strings.NewReader(text))
	})
}
