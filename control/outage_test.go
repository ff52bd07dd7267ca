package control_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against a log line at every step, 5 a second, while the platform is down, and against an outage whose end and
// duration are not logged.
func TestOutageIsLoggedOnce(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 1)
	w.runner = &runner{tasks: map[string]*running{}, begun: map[string]bool{}, doneCount: map[string]int{}}
	var out bytes.Buffer
	w.daemonList[0].c.Log = hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})
	w.run(time.Minute)
	out.Reset()
	w.platformDown = true
	w.run(10 * time.Minute)
	w.platformDown = false
	w.run(time.Minute)
	log := out.String()
	w.is.Equal(strings.Count(log, "step waits for the platform"), 1)
	w.is.Equal(strings.Count(log, "placement waits for the platform"), 1)
	w.is.Equal(strings.Count(log, "ended early"), 0)
	w.is.Equal(strings.Count(log, "step continues: after=10m0s"), 1)
}
