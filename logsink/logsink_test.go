package logsink_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/logsink"
)

// stuck is a writer that waits until it is released.
type stuck struct {
	free chan struct{}
	buf  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.buf.Write(p)
}

// Guards against a process that stops because nobody reads its log, and lines that are lost without a word.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	out := &stuck{free: make(chan struct{})}
	s := logsink.New(out)
	for range 10000 {
		n, err := s.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	close(out.free)
	s.Close()
	is.True(strings.Contains(out.buf.String(), "lines were left out"))
	is.True(strings.Count(out.buf.String(), "line\n") >= 4096)
}

// Guards against lines that are lost when the process ends.
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
