package plan_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/trace"
	"cuminstair.org/cuminstair/trace/plan"
)

func load(name string) ([]byte, error) { return os.ReadFile(filepath.Join("../../examples", name)) }

func play(t *testing.T, data []byte) []plan.Check {
	is := is.New(t)
	lines, err := plan.Read(bytes.NewReader(data))
	is.NoErr(err)
	p := plan.Player{Load: load}
	checks, err := p.Play(lines)
	is.NoErr(err)
	return checks
}

// Replays each recorded trace and checks the outcomes stated in it and the invariants of section 1.3 of docs/design.md.
func TestRecordedTraces(t *testing.T) {
	names, err := filepath.Glob("testdata/*.trace")
	is.New(t).NoErr(err)
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".trace"), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(name)
			is.New(t).NoErr(err)
			for _, c := range play(t, data) {
				t.Log(c)
				if !c.OK {
					t.Errorf("unexpected outcome: %s", c)
				}
			}
		})
	}
}

const fleetLine = `{"event": "fleet", "file": "kitchen.jsonc", "daemons": 1}` + "\n"

// Guards against a reader that accepts lines that the replay can't execute.
func TestReadFindsFaults(t *testing.T) {
	for name, text := range map[string]string{
		"no fleet":      `{"event": "down"}`,
		"unknown event": fleetLine + `{"event": "nonsense"}`,
		"unknown field": fleetLine + `{"event": "down", "colour": 1}`,
		"unknown error": fleetLine + `{"event": "submit", "daemon": "north-d1", "jobs": ["a"], "gives": "luck"}`,
		"no bound":      fleetLine + `{"event": "expect", "what": "moves"}`,
		"no wave":       fleetLine + `{"event": "order", "daemon": "north-d1", "kind": "wave", "do": "start"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := plan.Read(strings.NewReader(text))
			is.New(t).True(errors.Is(err, trace.ErrLine))
		})
	}
}

// Guards against outcomes that are not compared: a wrong one must fail and show the expected value, the found value and
// the time.
func TestFalseOutcomeFails(t *testing.T) {
	is := is.New(t)
	checks := play(t, []byte(fleetLine+`{"at": "1m", "event": "expect", "what": "holder", "centre": "north", "is": "north-d2"}
{"at": "1m", "event": "expect", "what": "active", "least": 51}`))
	is.Equal(len(checks), 2)
	is.True(!checks[0].OK && !checks[1].OK)
	is.Equal(checks[0].String(), `1m0s: holder north: expected "north-d2", found "north-d1"`)
	is.Equal(checks[1].String(), "1m0s: active: expected at least 51, found 50")
}
