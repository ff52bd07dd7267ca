package ticket

import (
	"time"

	"cuminstair.org/cuminstair"
)

// Defaults of Store.
const (
	// Window is the repeat window: an outcome is kept for this long after its run has ended and its ticket has expired.
	Window = 2 * time.Minute
	// Life is how long after its issue a ticket may start a run.
	Life = 2 * time.Minute
	// MaxTickets bounds unused tickets and kept outcomes together. If each is kept for 4 minutes (Life plus Window),
	// 270 requests with tickets a second are possible.
	MaxTickets = 1 << 16
	// MaxBytes bounds the memory of unused tickets and kept outcomes. A daemon has 64 MB in all.
	MaxBytes = 24 << 20
	// MaxAnswer is the largest answer that is kept. Of a larger one only the outcome is kept.
	MaxAnswer = 64 << 10
)

// Bytes that are charged for a stored value beyond its content, as measured by BenchmarkMemory.
const (
	entryCost   = 320
	messageCost = 352
	headerCost  = 64
)

// Action is what the daemon does with a request with a ticket. The zero value refuses.
type Action uint8

// Actions of a Verdict.
const (
	// ActionRefuse: nothing runs; the caller gets Verdict.Outcome and Verdict.Reason.
	ActionRefuse Action = iota
	// ActionRun: the request runs now and End is called with its outcome.
	ActionRun
	// ActionWait: the request is running; the caller gets the outcome that End is called with.
	ActionWait
	// ActionStored: the request has ended; the caller gets Verdict.Outcome and Verdict.Answer.
	ActionStored
	// ActionForward: the tickets of this store were handed over to Verdict.Successor.
	ActionForward
)

// Verdict is the decision about one request with a ticket.
type Verdict struct {
	Action  Action
	Outcome cuminstair.Outcome // of ActionRefuse and ActionStored
	Reason  cuminstair.Reason  // of ActionRefuse and ActionStored
	// Answer is set for ActionStored if the answer is still kept. It must not be changed.
	Answer    *cuminstair.Message
	Successor Home   // of ActionForward
	Run       uint64 // of ActionRun: the number to call End with, above zero
}

// Store keeps the tickets of one home daemon and those that other daemons handed over to it. It is not safe for
// concurrent use. The exported fields are set before the first call; zero values select the defaults.
type Store struct {
	Self       Home
	Window     time.Duration
	Life       time.Duration
	MaxTickets int
	MaxBytes   int64
	MaxAnswer  int64

	books       map[Home]*book
	due         map[int64][]ref // entries that Expire has to check, by Unix second
	swept       int64           // Unix seconds; Expire has handled all of due before it
	count       int             // unused tickets and entries
	bytes       int64           // bytes charged, including those reserved for answers of running requests
	answers     int64           // answers stored since the start, for their mean size
	answerBytes int64           // bytes charged for them when they were stored
	run         uint64          // number of the latest run
	sealed      bool
	exported    bool
	successor   Home
}

// ref identifies an entry.
type ref struct {
	home     Home
	sequence uint64
}

func (s *Store) window() time.Duration { return orDefault(s.Window, Window) }
func (s *Store) life() time.Duration   { return orDefault(s.Life, Life) }
func (s *Store) maxTickets() int       { return orDefault(s.MaxTickets, MaxTickets) }
func (s *Store) maxBytes() int64       { return orDefault(s.MaxBytes, MaxBytes) }
func (s *Store) maxAnswer() int64      { return orDefault(s.MaxAnswer, MaxAnswer) }

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Count returns the number of unused tickets and kept outcomes.
func (s *Store) Count() int { return s.count }

// Size returns the bytes that are charged for unused tickets, kept outcomes and running requests.
func (s *Store) Size() int64 { return s.bytes }

// Issue returns at most n new tickets. It returns fewer when memory is short, so that no outcome has to be dropped
// within the repeat window, and none once the store is sealed.
func (s *Store) Issue(now time.Time, n int) []Ticket {
	s.Expire(now)
	n = min(n, s.room())
	if n <= 0 || s.sealed {
		return nil
	}
	b := s.ownBook()
	expires := now.Add(s.life()).Truncate(time.Second)
	first := b.issue(expires.Unix(), n)
	s.count += n
	s.bytes += int64(n) * entryCost
	tickets := make([]Ticket, n)
	for i := range tickets {
		tickets[i] = Ticket{Home: s.Self, Sequence: first + uint64(i), Expires: expires}
	}
	return tickets
}

// room returns how many tickets may be issued. Each is expected to need the mean size of the answers kept so far.
func (s *Store) room() int {
	perTicket := int64(entryCost)
	if s.answers > 0 {
		perTicket += s.answerBytes / s.answers
	}
	bytes := max(0, s.maxBytes()-s.bytes) / perTicket
	return min(s.maxTickets()-s.count, int(bytes))
}

// Begin decides about a request that arrived at this daemon with a ticket. The signature has been checked before.
func (s *Store) Begin(now time.Time, t Ticket, hash Hash) Verdict {
	s.Expire(now)
	if s.exported {
		return Verdict{Action: ActionForward, Successor: s.successor}
	}
	b, ok := s.books[t.Home]
	if !ok {
		return Gone()
	}
	e, ok := b.entries[t.Sequence]
	if !ok {
		return s.beginFirst(now, b, t, hash)
	}
	if e.hash != hash {
		return Verdict{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonMalformed}
	}
	switch {
	case e.running:
		return Verdict{Action: ActionWait}
	case e.outcome != cuminstair.OutcomeNotRun:
		return Verdict{Action: ActionStored, Outcome: e.outcome, Reason: e.reason, Answer: e.answer}
	default:
		return s.start(now, t, e)
	}
}

// Gone is the verdict about a ticket whose home has ended or can't be reached: an earlier request with the ticket may
// have run there.
func Gone() Verdict {
	return Verdict{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonHomeGone}
}

// beginFirst decides about a ticket that has no entry.
func (s *Store) beginFirst(now time.Time, b *book, t Ticket, hash Hash) Verdict {
	if v, refused := s.refuseFirst(now, b, t); refused {
		return v
	}
	e := &entry{hash: hash, expires: t.Expires.Unix(), outcome: cuminstair.OutcomeNotRun}
	v := s.start(now, t, e)
	if v.Action != ActionRun {
		return v
	}
	b.use(t)
	b.entries[t.Sequence] = e
	s.scheduleExpiry(ref{t.Home, t.Sequence}, t.Expires.Add(s.window()))
	return v
}

func (s *Store) refuseFirst(now time.Time, b *book, t Ticket) (Verdict, bool) {
	switch {
	case t.Sequence >= b.next:
		// Signed with the key but never issued: another daemon uses the same name and incarnation.
		return Verdict{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonMalformed}, true
	case !now.Before(t.Expires.Add(s.window())):
		// An outcome may have been kept and dropped since.
		return Verdict{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonExpired}, true
	case !now.Before(t.Expires):
		// An outcome of this ticket would still be kept, so there was no run.
		return Verdict{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonExpired}, true
	default:
		return Verdict{}, false
	}
}

// start starts a run of an entry that is not running, or refuses it.
func (s *Store) start(now time.Time, t Ticket, e *entry) Verdict {
	switch {
	case !now.Before(t.Expires):
		return Verdict{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonExpired}
	case s.sealed:
		return Verdict{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonStopping}
	case s.bytes-e.charge+s.maxAnswer() > s.maxBytes():
		// The memory limit leaves no room for the answer.
		return Verdict{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonFull}
	}
	s.run++
	e.running = true
	e.run = s.run
	e.answer = nil
	s.charge(e, s.maxAnswer())
	return Verdict{Action: ActionRun, Run: e.run}
}

// charge replaces the bytes that are charged for the answer of an entry.
func (s *Store) charge(e *entry, n int64) {
	s.bytes += n - e.charge
	e.charge = n
}

// End records the outcome of a run. It returns false, and records nothing, if the run has ended before, for example as
// unknown by Export. The answer may be nil and must not be changed afterwards.
func (s *Store) End(now time.Time, t Ticket, run uint64, o cuminstair.Outcome, r cuminstair.Reason,
	answer *cuminstair.Message,
) bool {
	b, ok := s.books[t.Home]
	if !ok {
		return false
	}
	e, ok := b.entries[t.Sequence]
	if !ok || !e.running || e.run != run {
		return false
	}
	s.end(now, ref{t.Home, t.Sequence}, e, o, r, answer)
	return true
}

func (s *Store) end(now time.Time, at ref, e *entry, o cuminstair.Outcome, r cuminstair.Reason,
	answer *cuminstair.Message,
) {
	e.running = false
	e.ended = now.Unix() + 1 // rounded up
	e.outcome = o
	e.reason = r
	size := sizeOf(answer)
	if size > s.maxAnswer() || o == cuminstair.OutcomeNotRun {
		answer, size = nil, 0
	}
	e.answer = answer
	s.charge(e, size)
	if answer != nil {
		s.answers++
		s.answerBytes += size
	}
	s.scheduleExpiry(at, time.Unix(e.ended, 0).Add(s.window()))
}

// Lookup returns the stored state of a ticket without using it.
func (s *Store) Lookup(now time.Time, t Ticket) Verdict {
	s.Expire(now)
	if s.exported {
		return Verdict{Action: ActionForward, Successor: s.successor}
	}
	b, ok := s.books[t.Home]
	if !ok {
		return Gone()
	}
	e, ok := b.entries[t.Sequence]
	switch {
	case ok && e.running:
		return Verdict{Action: ActionWait}
	case ok:
		return Verdict{Action: ActionStored, Outcome: e.outcome, Reason: e.reason, Answer: e.answer}
	}
	if v, refused := s.refuseFirst(now, b, t); refused {
		return v
	}
	return Verdict{Action: ActionStored, Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonOK}
}
