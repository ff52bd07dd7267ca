package logsink_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/logsink"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.buf.Write(p)
}

// Guards against a process that blocks because its log is not read, and against dropped lines that are not reported.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	s := logsink.New(out)
	for range 10000 {
		n, err := s.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	close(out.release)
	s.Close()
	is.True(strings.Contains(out.buf.String(), "lines were left out"))
	is.True(strings.Count(out.buf.String(), "line\n") >= 4096)
}

// Guards against buffered lines that are lost when the process ends.
func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	s := logsink.New(&buf)
	for range 100 {
		_, _ = s.Write([]byte("x\n"))
	}
	s.Close()
	is.Equal(strings.Count(buf.String(), "x\n"), 100)
}
