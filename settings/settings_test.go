package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/settings"
)

// write writes files into a new directory and returns the path of settings.json.
func write(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for name, data := range map[string]string{"settings.json": text, "fleet.json": "{}", "short.key": "hunter2", "bad.pem": "secret"} {
		is.New(t).NoErr(os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
	}
	return filepath.Join(dir, "settings.json")
}

const validSettings = `{
	// The first daemon.
	"name": "e1", "centre": "c1",
	"listen": {"callers": "127.0.0.1:8080", "metrics": "127.0.0.1:9090"},
	"stop": "20s",
	"fleet": "fleet.json",
}`

// Guards against flags that don't override the file, missing defaults and paths that depend on the working directory.
func TestLoad(t *testing.T) {
	is := is.New(t)
	file := write(t, validSettings)
	s, err := settings.Load(file, map[string]string{"listen.callers": "127.0.0.1:8081", "wait": "0s", "share": "0.5"})
	is.NoErr(err)
	is.Equal(s.Listen.Callers, "127.0.0.1:8081")
	is.Equal(s.Listen.Metrics, "127.0.0.1:9090")
	is.Equal(s.Stop.D(), 20*time.Second)
	is.Equal(s.Wait.D(), time.Duration(0))
	is.Equal(s.Share, 0.5)
	is.Equal(s.Log, "info")
	is.Equal(s.Fleet, filepath.Join(filepath.Dir(file), "fleet.json"))
}

// Guards against a fault that is found only after the others are fixed, a fault without its file and line, a fault that
// is reported twice, and secrets in messages.
func TestLoadReportsAllFaults(t *testing.T) {
	is := is.New(t)
	file := write(t, `{
	"name": "", "zone": "c1",
	"listen": {
		"callers": "localhost:80", // a name
		"operators": 8080,
		"metrics": "127.0.0.1:9090", "metrics": "127.0.0.1:9091"
	},
	"stop": "20", "wait": "30s",
	"platform": "127.0.0.1:7000", "fleet": "fleet.json",
	"peers": ["e2=127.0.0.1:7001"],
	"key": "short.key",
	"tls": {"callers": {"certificate": "bad.pem", "key": "bad.pem"}, "metrics": {}},
	"share": 2,
}`)
	_, err := settings.Load(file, map[string]string{"log": "loud"})
	is.True(errors.Is(err, settings.ErrInvalid))
	for _, want := range []string{
		"settings.json:2: name: is missing",
		"settings.json:2: zone: unknown field",
		"settings.json:1: centre: is missing",
		"settings.json:4: listen.callers: \"localhost:80\" is not an IP address and port",
		"settings.json:5: listen.operators: want a string",
		"settings.json:6: listen.metrics: is set a second time",
		"settings.json:8: stop: a duration is a string",
		"settings.json:9: fleet: contradicts platform",
		"settings.json:3: listen.peers: is missing: there are peers",
		"settings.json:11: key: the key in",
		"settings.json:12: tls.callers: ",
		"settings.json:12: tls.metrics: unknown field",
		"settings.json:13: share: 2 is not",
		"flag -log: log: \"loud\" is not",
	} {
		is.True(strings.Count(err.Error(), want) == 1) // one message per fault
	}
	is.Equal(strings.Count(err.Error(), "\n"), 13)
	is.True(!strings.Contains(err.Error(), "hunter2"))
	is.True(!strings.Contains(err.Error(), "secret"))
}

// Guards against a message without a line for a file that is not JSON with comments.
func TestLoadBrokenFile(t *testing.T) {
	is := is.New(t)
	_, err := settings.Load(write(t, "{\n\"name\": }"), nil)
	is.True(errors.Is(err, settings.ErrInvalid))
	is.True(strings.Contains(err.Error(), "line 2"))
	is.Equal(strings.Count(err.Error(), "\n"), 0)
	_, err = settings.Load(filepath.Join(t.TempDir(), "none.json"), nil)
	is.True(errors.Is(err, os.ErrNotExist))
}
