package eventbox_test

import (
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/eventbox"
)

// Guards against a slow reader that sees a value which was replaced, or loses another kind's event.
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

// Guards against a reader that hangs when the process stops, and against losing an event set just before Close.
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
