// Package logsink writes log lines asynchronously, so that logging never blocks.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxPending is the maximum number of buffered lines.
const maxPending = 4096

// maxWrite is the size in bytes from which no further lines are added to a write; the last line may exceed it.
const maxWrite = 4 << 10

// Sink is an io.Writer that passes lines to a writer goroutine through a buffer, and drops them while the buffer is full.
// It must be created with New.
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

// Close returns when the buffered lines have been written. Lines that are passed to Write after Close are lost.
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
		// The error is ignored, since there is no other output to report it to.
		_, _ = out.Write(buf)
	}
}

// collect appends the buffered lines to buf, up to maxWrite, and a line with the number of lines dropped since the last
// call.
func (s *Sink) collect(buf []byte) []byte {
	for n := len(s.lines); n > 0 && len(buf) < maxWrite; n-- {
		buf = append(buf, <-s.lines...)
	}
	if n := s.dropped.Swap(0); n > 0 {
		buf = fmt.Appendf(buf, "{\"@level\":\"warn\",\"@message\":\"logsink: lines were left out\",\"lines\":%d}\n", n)
	}
	return buf
}
