package ticket_test

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/ticket"
)

var key = ticket.Key("a key of at least sixteen bytes")

// Guards against accepting a ticket that was changed, truncated or signed with another key, and against two text forms
// of one ticket.
func FuzzParse(f *testing.F) {
	want := ticket.Ticket{Home: homeA, Sequence: 41, Expires: start}
	text := key.Text(want)
	f.Add(text)
	f.Add(text[:len(text)-1])
	f.Add(text + "A")
	f.Add("x" + text)
	f.Add(ticket.Key("another key of sixteen bytes").Text(want))
	f.Add("....")
	f.Add("")
	f.Fuzz(func(t *testing.T, in string) {
		got, err := key.Parse(in)
		if err == nil && key.Text(got) != in {
			t.Fatalf("accepted %q as %+v", in, got)
		}
		if err == nil && in != text {
			t.Fatalf("accepted %q, which was never issued", in)
		}
		if err != nil && !errors.Is(err, ticket.ErrMalformed) && !errors.Is(err, ticket.ErrForged) {
			t.Fatalf("error is neither ErrMalformed nor ErrForged: %v", err)
		}
	})
}

// Guards against accepting a ticket in which any single byte was changed, or that was truncated.
func TestEveryChangedByteIsRefused(t *testing.T) {
	is := is.New(t)
	want := ticket.Ticket{Home: homeA, Sequence: 41, Expires: start.Add(time.Hour)}
	text := key.Text(want)
	got, err := key.Parse(text)
	is.NoErr(err)
	is.Equal(got, want)
	for i := range text {
		for b := range 256 {
			if changed := text[:i] + string([]byte{byte(b)}) + text[i+1:]; changed != text {
				_, err := key.Parse(changed)
				is.True(err != nil)
			}
		}
		_, err := key.Parse(text[:i])
		is.True(err != nil)
	}
	is.True(errors.Is(ticket.Key("short").Check(), ticket.ErrKey))
}
