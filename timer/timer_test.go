package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/timer"
)

var start = time.Unix(1000, 0)

// Guards against subscribers that are called out of order or with another time than their due time.
func TestVirtualOrder(t *testing.T) {
	is := is.New(t)
	v := timer.NewVirtual(start)
	var got []time.Duration
	note := func(now time.Time) { got = append(got, now.Sub(start)) }
	v.After(30*time.Millisecond, note)
	v.Every(20*time.Millisecond, note)
	stop := v.After(25*time.Millisecond, note)
	is.True(stop())
	is.True(!stop())
	v.Advance(50 * time.Millisecond)
	is.Equal(got, []time.Duration{20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond})
	is.Equal(v.Now(), start.Add(50*time.Millisecond))
}

// Guards against lost ticks when the clock is advanced by several periods at once.
func TestVirtualEveryTick(t *testing.T) {
	is := is.New(t)
	v := timer.NewVirtual(start)
	ticks := 0
	v.Every(20*time.Millisecond, func(time.Time) { ticks++ })
	v.Advance(time.Second)
	is.Equal(ticks, 50)
}

// Guards against a tick that is lost while the receiver waits, against a receiver that gets one tick for each period in
// which it was busy, and against a subscriber that blocks the clock.
func TestTicksAreDroppedWhileOneIsPending(t *testing.T) {
	is := is.New(t)
	v := timer.NewVirtual(start)
	due, stop := timer.Ticks(v, 20*time.Millisecond)
	received := func() (count int) {
		for {
			select {
			case <-due:
				count++
			default:
				return count
			}
		}
	}
	is.Equal(received(), 0)
	for range 3 {
		v.Advance(20 * time.Millisecond)
		is.Equal(received(), 1)
	}
	v.Advance(time.Second)
	is.Equal(received(), 1)
	is.True(stop())
	v.Advance(time.Second)
	is.Equal(received(), 0)
}

// Guards against a subscriber that is never called because another subscriber added it during Advance.
func TestVirtualNested(t *testing.T) {
	is := is.New(t)
	v := timer.NewVirtual(start)
	var at time.Duration
	v.After(10*time.Millisecond, func(time.Time) {
		v.After(10*time.Millisecond, func(now time.Time) { at = now.Sub(start) })
	})
	v.Advance(time.Second)
	is.Equal(at, 20*time.Millisecond)
}

// Guards against a real clock that does not call its subscribers or goes backwards.
func TestServiceFires(t *testing.T) {
	is := is.New(t)
	s := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	before := s.Now()
	fired := make(chan time.Time, 1)
	s.After(time.Millisecond, func(now time.Time) { fired <- now })
	is.True((<-fired).Sub(before) >= time.Millisecond)
}
