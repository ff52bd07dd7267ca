package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against output that omits lines, includes lines of other jobs or is not in order of time.
func TestExplain(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := write("a", `{"@timestamp":"2026-01-01T00:00:02Z","@message":"dispatch: job has ended","job":"j1","why":"done"}
not a line of a log j1
{"@timestamp":"2026-01-01T00:00:03Z","@message":"dispatch: job has ended","job":"j2"}
`)
	b := write("b", `  1.5 d1 {"@timestamp":"2026-01-01T00:00:01Z","@message":"dispatch: tasks placed","job":"j1","tasks":"0:7@w1 1:8@w2"}
`)
	list, err := readLogs("j1", []string{a, b})
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(printLines(&out, list))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "tasks placed job=j1 tasks=0:7@w1 1:8@w2"))
	is.True(strings.Contains(lines[1], "job has ended job=j1 why=done"))
	list, err = readLogs("w2", []string{a, b})
	is.NoErr(err)
	is.Equal(len(list), 1)
	_, err = readLogs("j1", []string{filepath.Join(dir, "missing")})
	is.True(err != nil)
}
