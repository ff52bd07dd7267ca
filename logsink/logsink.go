// Package logsink writes log lines without ever making the writer wait.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxPending bounds the lines that wait to be written.
const maxPending = 4096

// maxWrite bounds the bytes of one write, but for its last line.
const maxWrite = 12 << 10

// Sink is a writer that hands lines to a goroutine and drops them when too many wait. It must be made with New.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxPending), quit: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what waits. Later lines are lost.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.quit) })
	<-s.done
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	buf := make([]byte, 0, maxWrite)
	for {
		select {
		case line := <-s.lines:
			buf = s.collect(append(buf[:0], line...))
		case <-s.quit:
			buf = s.collect(buf[:0])
			if len(buf) == 0 {
				return
			}
		}
		// There is nowhere to report that standard output is gone.
		_, _ = out.Write(buf)
	}
}

// collect adds the lines that wait, as many as one write takes.
func (s *Sink) collect(buf []byte) []byte {
	for n := len(s.lines); n > 0 && len(buf) < maxWrite; n-- {
		buf = append(buf, <-s.lines...)
	}
	if n := s.dropped.Swap(0); n > 0 {
		buf = fmt.Appendf(buf, "{\"@level\":\"warn\",\"@message\":\"logsink: lines were left out\",\"lines\":%d}\n", n)
	}
	return buf
}
