package ticket

import (
	"time"

	"cuminstair.org/cuminstair"
)

// book holds the tickets of one home.
type book struct {
	next    uint64 // sequence of the next ticket; all below it were issued
	batches []batch
	entries map[uint64]*entry // used tickets, by sequence
}

// batch counts the unused tickets with the same expiry. The batches of a book are in the order of their expiry.
type batch struct {
	expires int64 // Unix seconds
	unused  int
}

// entry is a used ticket. It is kept until the repeat window has passed since both the end of its run and its expiry;
// until then, the absence of an entry would prove that the ticket has not run.
type entry struct {
	hash    Hash
	expires int64 // Unix seconds
	ended   int64 // Unix seconds, rounded up; 0 before the first run has ended
	run     uint64
	charge  int64 // bytes charged for its answer, or reserved for it during a run
	answer  *cuminstair.Message
	reason  cuminstair.Reason
	outcome cuminstair.Outcome
	running bool
}

func (s *Store) ownBook() *book {
	if b, ok := s.books[s.Self]; ok {
		return b
	}
	b := &book{entries: map[uint64]*entry{}}
	if s.books == nil {
		s.books = map[Home]*book{}
	}
	s.books[s.Self] = b
	return b
}

// issue adds n tickets and returns the sequence of the first.
func (b *book) issue(expires int64, n int) uint64 {
	first := b.next
	b.next += uint64(n)
	if last := len(b.batches) - 1; last >= 0 && b.batches[last].expires == expires {
		b.batches[last].unused += n
		return first
	}
	b.batches = append(b.batches, batch{expires: expires, unused: n})
	return first
}

// use removes a ticket from the unused ones of its batch. The entryCost of the unused ticket stays charged for
// its entry.
func (b *book) use(t Ticket) {
	for i := range b.batches {
		if b.batches[i].expires == t.Expires.Unix() {
			b.batches[i].unused--
			return
		}
	}
}

// scheduleExpiry makes Expire check an entry at the given time.
func (s *Store) scheduleExpiry(at ref, when time.Time) {
	if s.due == nil {
		s.due = map[int64][]ref{}
	}
	sec := max(when.Unix(), s.swept)
	s.due[sec] = append(s.due[sec], at)
}

// Expire drops unused tickets that have expired, and answers and outcomes after the repeat window. Issue, Begin, Lookup
// and Import call it; a daemon also calls it each second so that memory is freed without requests.
func (s *Store) Expire(now time.Time) {
	sec := now.Unix()
	if s.swept == 0 {
		s.swept = sec
	}
	if sec <= s.swept {
		return
	}
	for home, b := range s.books {
		s.expireBatches(sec, b)
		if home != s.Self && len(b.batches) == 0 && len(b.entries) == 0 {
			// All tickets of the book expired more than the repeat window ago: a repeat is answered unknown with or without the
			// book.
			delete(s.books, home)
		}
	}
	from := s.swept
	s.swept = sec
	for ; from < sec; from++ {
		s.sweep(from, sec)
		if len(s.due) == 0 {
			return
		}
	}
}

func (s *Store) sweep(second, now int64) {
	refs := s.due[second]
	delete(s.due, second)
	for _, at := range refs {
		b, ok := s.books[at.home]
		if !ok {
			continue
		}
		if e, ok := b.entries[at.sequence]; ok {
			s.expireEntry(now, at, b, e)
		}
	}
}

func (s *Store) expireBatches(now int64, b *book) {
	window := int64(s.window() / time.Second)
	for i := range b.batches {
		x := &b.batches[i]
		if x.expires > now {
			break
		}
		s.count -= x.unused
		s.bytes -= int64(x.unused) * entryCost
		x.unused = 0
	}
	for len(b.batches) > 0 && b.batches[0].expires+window < now {
		b.batches = b.batches[1:]
	}
}

func (s *Store) expireEntry(now int64, at ref, b *book, e *entry) {
	window := int64(s.window() / time.Second)
	if e.running {
		return // Store.end schedules another check
	}
	if now > e.ended+window && e.answer != nil {
		e.answer = nil
		s.charge(e, 0)
	}
	if last := max(e.ended, e.expires) + window; now <= last {
		s.scheduleExpiry(at, time.Unix(last, 0))
		return
	}
	s.charge(e, 0)
	delete(b.entries, at.sequence)
	s.count--
	s.bytes -= entryCost
}
