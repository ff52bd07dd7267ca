package assignment_test

import (
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/assignment"
)

// Guards against a former service that is forgotten while a queue goes from one service to another and back, and against a version
// that undoes a later one.
func TestMoves(t *testing.T) {
	is := is.New(t)
	q := assignment.New(assignment.Key{Host: "h", Prefix: "/p/"}, "s1", 3)
	for _, c := range []struct {
		service string
		version int64
		current bool
		since   int64
		former  []string
	}{
		{"s1", 2, true, 3, nil},
		{"s2", 2, false, 3, nil},
		{"s1", 5, true, 3, nil},
		{"s2", 8, true, 8, []string{"s1"}},
		{"s1", 7, false, 8, []string{"s1"}},
		{"s3", 9, true, 9, []string{"s1", "s2"}},
		{"s1", 12, true, 12, []string{"s2", "s3"}},
	} {
		next, current := q.MovedTo(c.service, c.version)
		is.Equal(current, c.current)
		is.Equal(next.Since, c.since)
		is.Equal(len(next.Former), len(c.former))
		for i, f := range c.former {
			is.Equal(next.Former[i], f)
		}
		q = next
	}
	decoded, err := assignment.Decode(q.Encode())
	is.NoErr(err)
	is.Equal(decoded.Others("s1"), []string{"s2", "s3"})
	is.Equal(decoded.Others("s2"), []string{"s1", "s3"})
	is.Equal(decoded.WithFormer("s2").Former, decoded.Former)
	is.Equal(decoded.WithoutFormer("s2").Former, []string{"s3"})
	is.True(decoded.Lists("s3") && !decoded.WithoutFormer("s3").Lists("s3"))
	for _, bad := range []string{`{`, `{"service":"","since":1}`, `{"service":"s"}`} {
		_, err := assignment.Decode([]byte(bad))
		is.True(err != nil)
	}
}
