package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const loadFile = "../../examples/loads/luz-eterna.jsonc"

func command(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	app := newApp()
	app.Writer = &out
	err := app.Run(append([]string{"experiment"}, args...))
	return out.String(), err
}

// Guards against example loads that can't be read, and against tables or plots without the compared policies.
func TestTableAndPlot(t *testing.T) {
	is := is.New(t)
	svg := filepath.Join(t.TempDir(), "windows.svg")
	out, err := command(t, "--against", "fixed,pooled", "--fault", "store,5,2", "--svg", svg, loadFile)
	is.NoErr(err)
	for _, want := range []string{"present", "fixed", "pooled", "earned of the value", "host core-seconds a used one", "lost: store"} {
		is.True(strings.Contains(out, want))
	}
	plot, err := os.ReadFile(svg)
	is.NoErr(err)
	is.True(bytes.Contains(plot, []byte("<svg")))
}

// Guards against wrong options that are ignored.
func TestWrongOptions(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{
		{},
		{"--policy", "none", loadFile},
		{"--against", "fixed,none", loadFile},
		{"--days", "0", loadFile},
		{"--fault", "store,5", loadFile},
		{"--fault", "rack,5,2,none,3", loadFile},
		{"--fault", "store,x,2", loadFile},
		{"missing.jsonc"},
	} {
		_, err := command(t, args...)
		is.True(err != nil)
	}
}
