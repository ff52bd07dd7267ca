package eventbox_test

import (
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/eventbox"
)

// Guards against a slow reader that receives an outdated event, or loses an event of another kind.
func TestLatestEventOfEachKind(t *testing.T) {
	is := is.New(t)
	var b eventbox.Box[string, int]
	b.Set("fleet", 1)
	b.Set("fleet", 2)
	b.Merge("hosts", func(old int, ok bool) int {
		is.True(!ok)
		return old + 5
	})
	b.Merge("hosts", func(old int, _ bool) int { return old + 5 })
	events, ok := b.Wait()
	is.True(ok)
	is.Equal(events, map[string]int{"fleet": 2, "hosts": 10})
}

// Guards against a reader that blocks forever when the process stops, and against events that are stored after Close.
func TestCloseWakesReader(t *testing.T) {
	is := is.New(t)
	var b eventbox.Box[string, int]
	done := make(chan bool)
	go func() {
		_, ok := b.Wait()
		done <- ok
	}()
	b.Close()
	is.True(!<-done)
	b.Set("fleet", 1)
	_, ok := b.Wait()
	is.True(!ok)
}
