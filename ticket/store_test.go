package ticket_test

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

var (
	start  = time.Unix(1_000_000, 0)
	homeA  = ticket.Home{Name: "entry-a.west", Incarnation: 7}
	homeB  = ticket.Home{Name: "entry-b.west", Incarnation: 9}
	first  = &cuminstair.Message{Method: "POST", Path: "/scale", Body: []byte("12")}
	second = &cuminstair.Message{Method: "POST", Path: "/scale", Body: []byte("13")}
	answer = &cuminstair.Message{Status: 200, Body: []byte("24")}
)

func begin(s *ticket.Store, after time.Duration, t ticket.Ticket, m *cuminstair.Message) ticket.Verdict {
	return s.Begin(start.Add(after), t, ticket.HashOf(m))
}

// Guards against a second run when a repeat arrives during the first run, after it, or with another body.
func TestRepeatDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	s := &ticket.Store{Self: homeA}
	tk := s.Issue(start, 1)[0]
	run := begin(s, 0, tk, first)
	is.Equal(run.Action, ticket.ActionRun)
	is.Equal(begin(s, 0, tk, first).Action, ticket.ActionWait)
	is.Equal(begin(s, 0, tk, second).Reason, cuminstair.ReasonMalformed)
	is.True(s.End(start, tk, run.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, answer))
	is.True(!s.End(start, tk, run.Run, cuminstair.OutcomeNotRun, cuminstair.ReasonOK, nil)) // the run has ended already
	again := begin(s, time.Minute, tk, first)
	is.Equal(again.Action, ticket.ActionStored)
	is.Equal(again.Answer, answer)
	is.Equal(begin(s, time.Minute, tk, second).Action, ticket.ActionRefuse)
}

// Guards against a ticket that can't be used again although its request was proved not to have run, and against a late
// End of an earlier run that ends the run in progress.
func TestNotRunMayRunAgain(t *testing.T) {
	is := is.New(t)
	s := &ticket.Store{Self: homeA}
	tk := s.Issue(start, 1)[0]
	one := begin(s, 0, tk, first)
	is.True(s.End(start, tk, one.Run, cuminstair.OutcomeNotRun, cuminstair.ReasonFull, nil))
	is.Equal(begin(s, 0, tk, second).Reason, cuminstair.ReasonMalformed)
	two := begin(s, 0, tk, first)
	is.Equal(two.Action, ticket.ActionRun)
	is.True(!s.End(start, tk, one.Run, cuminstair.OutcomeNotRun, cuminstair.ReasonFull, nil))
	is.Equal(begin(s, 0, tk, first).Action, ticket.ActionWait)
}

// Guards against a run after an outcome was dropped, and against claiming notrun when an outcome may have been dropped.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	s := &ticket.Store{Self: homeA}
	tks := s.Issue(start, 2)
	run := begin(s, ticket.Life-time.Second, tks[0], first)
	is.True(s.End(start.Add(3*time.Minute), tks[0], run.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, answer))
	is.Equal(begin(s, 3*time.Minute, tks[1], first), ticket.Verdict{
		Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonExpired,
	})
	is.Equal(begin(s, 5*time.Minute, tks[0], first).Answer, answer)
	s.Expire(start.Add(5*time.Minute + 3*time.Second))
	is.Equal(s.Count(), 0)
	is.Equal(s.Size(), int64(0))
	is.Equal(begin(s, 6*time.Minute, tks[0], first), ticket.Verdict{
		Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonExpired,
	})
}

// Guards against an outcome that is dropped within the repeat window, or memory use above the limits, under a flood of
// requests.
func TestBoundsLimitIssue(t *testing.T) {
	is := is.New(t)
	s := &ticket.Store{Self: homeA, MaxTickets: 100, MaxBytes: 200_000, MaxAnswer: 10_000}
	big := &cuminstair.Message{Body: make([]byte, 9_000)}
	done := 0
	for range 50 {
		for _, tk := range s.Issue(start, 10) {
			v := begin(s, 0, tk, first)
			if v.Action != ticket.ActionRun {
				is.Equal(v.Outcome, cuminstair.OutcomeNotRun)
				continue
			}
			is.True(s.End(start, tk, v.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, big))
			done++
			is.Equal(begin(s, ticket.Window, tk, first).Answer, big)
		}
		is.True(s.Count() <= 100)
		is.True(s.Size() <= 200_000)
	}
	is.True(done > 15)
	is.Equal(len(s.Issue(start, 10)), 0)
	is.Equal(len(s.Issue(start.Add(5*time.Minute), 10)), 10) // expired tickets have freed room
}

// Guards against tickets that are lost or run twice, and outcomes that are dropped, when their home stops and hands
// over to a chain of successors.
func TestHandover(t *testing.T) {
	is := is.New(t)
	a, b := &ticket.Store{Self: homeA}, &ticket.Store{Self: homeB}
	tks := a.Issue(start, 3)
	done := begin(a, 0, tks[0], first)
	is.True(a.End(start, tks[0], done.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, answer))
	running := begin(a, 0, tks[1], first)
	a.Seal()
	is.Equal(begin(a, 0, tks[2], first).Reason, cuminstair.ReasonStopping)
	is.Equal(a.Running(), 1)
	out, err := a.Export(start, homeB)
	is.NoErr(err)
	_, err = a.Export(start, homeA) // would hand the same tickets to a second successor
	is.True(errors.Is(err, ticket.ErrStopping))
	data, err := out.Encode()
	is.NoErr(err)
	is.True(!a.End(start, tks[1], running.Run, cuminstair.OutcomeDone, cuminstair.ReasonOK, answer))
	is.Equal(begin(a, 0, tks[2], first), ticket.Verdict{Action: ticket.ActionForward, Successor: homeB})
	h, err := ticket.DecodeHandover(data)
	is.NoErr(err)
	is.Equal(begin(b, 0, tks[2], first), ticket.Gone())
	is.NoErr(b.Import(start, h))
	is.Equal(begin(b, 0, tks[0], first).Answer.Body, answer.Body)
	is.Equal(begin(b, 0, tks[1], first), ticket.Verdict{
		Action: ticket.ActionStored, Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonStopping,
	})
	is.Equal(begin(b, 0, tks[2], first).Action, ticket.ActionRun)
	is.NoErr(b.Import(start, h)) // the reply to the first import was lost
	is.Equal(begin(b, 0, tks[2], first).Action, ticket.ActionWait)
	is.Equal(b.Count(), 3)
	c := &ticket.Store{Self: ticket.Home{Name: "entry-c.west", Incarnation: 1}}
	out, err = b.Export(start, c.Self)
	is.NoErr(err)
	is.NoErr(c.Import(start, out))
	is.Equal(begin(c, 0, tks[2], first).Action, ticket.ActionStored)
	is.True(errors.Is(b.Import(start, h), ticket.ErrStopping))
}

// Guards against a request that is routed to a daemon without its ticket, such as a later process of the same name.
func TestRoute(t *testing.T) {
	is := is.New(t)
	homeC := ticket.Home{Name: "entry-c.west", Incarnation: 4}
	left := ticket.Home{Name: "entry-d.west", Incarnation: 2}
	known := map[ticket.Home]ticket.Member{
		homeB: {Left: true, Successor: homeC},
		homeC: {Alive: true},
		left:  {Left: true, Successor: homeA},
	}
	members := func(h ticket.Home) (ticket.Member, bool) { m, ok := known[h]; return m, ok }
	s := &ticket.Store{Self: homeA}
	for _, c := range []struct {
		home  ticket.Home
		place ticket.Place
		to    ticket.Home
	}{
		{homeA, ticket.PlaceHere, homeA},
		{homeB, ticket.PlaceForward, homeC},
		{left, ticket.PlaceHere, homeA},
		{ticket.Home{Name: homeC.Name, Incarnation: 5}, ticket.PlaceGone, ticket.Home{}},
	} {
		place, to := s.Route(ticket.Ticket{Home: c.home}, members)
		is.Equal(place, c.place)
		is.Equal(to, c.to)
	}
	s.Issue(start, 1)
	_, err := s.Export(start, homeC)
	is.NoErr(err)
	place, to := s.Route(ticket.Ticket{Home: homeA}, members)
	is.Equal(place, ticket.PlaceForward)
	is.Equal(to, homeC)
}
