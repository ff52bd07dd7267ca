package intake

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a head whose end is missed, so that its body counts as head, or seen too early, in any split.
func TestHeadEndsWhereItEnds(t *testing.T) {
	for text, size := range map[string]int{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\r\n\r\n": 27,
		"GET / HTTP/1.1\nHost: a\n\nbody":               24,
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n\r\n":            22,
		"GET / HTTP/1.1\r\nA: b\r\n\r\r\n c\r\n":        -29,
		"\r\n\r\n\r\n":                                  -6,
	} {
		for piece := 1; piece <= len(text); piece++ {
			is := is.New(t)
			var h head
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				h.add([]byte(rest[:n]))
				rest = rest[n:]
			}
			is.Equal(h.ended, size > 0)
			is.Equal(h.size, max(size, -size))
			is.Equal(h.lines, strings.Count(text[:h.size], "\n"))
		}
	}
}

// Guards against a flood that fills the log.
func TestLogLinesAreBounded(t *testing.T) {
	is := is.New(t)
	var l Lines
	now := time.Unix(1000, 0)
	logged, left := 0, 0
	for range 1000 {
		n, ok := l.Next(now, NoMemory)
		if ok {
			logged, left = logged+1, left+n
		}
		now = now.Add(linePause / 100)
	}
	is.Equal(logged, 10)
	is.Equal(left, 9*99)
	_, ok := l.Next(now, HeadTooSlow)
	is.True(ok) // each limit has its own lines
}
