package ticket

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Errors of hand-overs.
const (
	// ErrFull means that the successor has no room. It imported nothing, and another successor may be tried.
	ErrFull = errors.ConstError("no room for the tickets of another daemon")
	// ErrStopping means that this daemon is stopping. If Import returns it, nothing was imported, and another successor
	// may be tried.
	ErrStopping = errors.ConstError("the daemon is stopping")
)

// importFactor bounds imports: after one, a store may hold up to importFactor times its bounds for issued tickets. A store
// above its bounds for issued tickets issues none until it is below them again.
const importFactor = 2

// Handover holds the tickets that a stopping daemon hands over to its successor.
type Handover struct {
	From  Home   `cbor:"1,keyasint"`
	Books []Book `cbor:"2,keyasint"`
}

// Book holds the tickets of one home: the stopping daemon, or a daemon that handed its tickets over to it.
type Book struct {
	Home    Home    `cbor:"1,keyasint"`
	Next    uint64  `cbor:"2,keyasint"` // all sequences below it were issued
	Batches []Batch `cbor:"3,keyasint"`
	Entries []Entry `cbor:"4,keyasint"`
}

// Batch counts the unused tickets with the same expiry.
type Batch struct {
	Expires int64 `cbor:"1,keyasint"` // Unix seconds
	Unused  int   `cbor:"2,keyasint"`
}

// Entry is a used ticket whose run has ended.
type Entry struct {
	Sequence uint64              `cbor:"1,keyasint"`
	Hash     []byte              `cbor:"2,keyasint"`
	Expires  int64               `cbor:"3,keyasint"` // Unix seconds
	Ended    int64               `cbor:"4,keyasint"` // Unix seconds
	Outcome  cuminstair.Outcome  `cbor:"5,keyasint"`
	Reason   cuminstair.Reason   `cbor:"6,keyasint"`
	Answer   *cuminstair.Message `cbor:"7,keyasint,omitempty"`
}

// Seal stops new runs and new tickets. Runs in progress continue, repeats still wait for them, and stored outcomes are
// still returned.
func (s *Store) Seal() { s.sealed = true }

// Running returns the number of runs that have not ended.
func (s *Store) Running() int {
	n := 0
	for _, b := range s.books {
		for _, e := range b.entries {
			if e.running {
				n++
			}
		}
	}
	return n
}

// Export seals the store, ends the runs in progress as unknown and returns all tickets for the successor. From then on
// Begin forwards to the successor, and a late End is ignored. A hand-over that may have reached the successor must not
// be sent to another daemon, since both would then run unused tickets. Redirect may name another one only if it is
// proved that the successor imported nothing. A second Export returns ErrStopping.
func (s *Store) Export(now time.Time, successor Home) (*Handover, error) {
	if s.exported {
		return nil, fmt.Errorf("export tickets again: %w", ErrStopping)
	}
	s.sealed = true
	s.exported = true
	s.successor = successor
	h := &Handover{From: s.Self}
	for home, b := range s.books {
		h.Books = append(h.Books, s.exportBook(now, home, b))
	}
	slices.SortFunc(h.Books, func(a, b Book) int { return compareHomes(a.Home, b.Home) })
	return h, nil
}

// Redirect names another successor after a hand-over that was proved not to have been imported.
func (s *Store) Redirect(successor Home) { s.successor = successor }

func (s *Store) exportBook(now time.Time, home Home, b *book) Book {
	out := Book{Home: home, Next: b.next}
	for _, x := range b.batches {
		out.Batches = append(out.Batches, Batch{Expires: x.expires, Unused: x.unused})
	}
	for seq, e := range b.entries {
		if e.running {
			s.end(now, ref{home, seq}, e, cuminstair.OutcomeUnknown, cuminstair.ReasonStopping, nil)
		}
		out.Entries = append(out.Entries, Entry{
			Sequence: seq, Hash: e.hash[:], Expires: e.expires, Ended: e.ended,
			Outcome: e.outcome, Reason: e.reason, Answer: e.answer,
		})
	}
	slices.SortFunc(out.Entries, func(a, b Entry) int {
		if a.Sequence < b.Sequence {
			return -1
		}
		return 1
	})
	return out
}

func compareHomes(a, b Home) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	case a.Incarnation < b.Incarnation:
		return -1
	default:
		return 1
	}
}

// Import takes over the tickets of another daemon. It imports all of them or, with ErrFull or ErrStopping, none. An
// import may be repeated: a book that the store already has stays as it is.
func (s *Store) Import(now time.Time, h *Handover) error {
	s.Expire(now)
	if s.sealed {
		return fmt.Errorf("import tickets of %s: %w", h.From.Name, ErrStopping)
	}
	var count int
	var bytes int64
	for i := range h.Books {
		n, size := costOf(&h.Books[i])
		count += n
		bytes += size
	}
	if s.count+count > importFactor*s.maxTickets() || s.bytes+bytes > importFactor*s.maxBytes() {
		return fmt.Errorf("import %d tickets of %s: %w", count, h.From.Name, ErrFull)
	}
	s.ownBook()
	for i := range h.Books {
		s.importBook(&h.Books[i])
	}
	return nil
}

func costOf(b *Book) (count int, bytes int64) {
	for _, x := range b.Batches {
		count += x.Unused
	}
	for i := range b.Entries {
		count++
		bytes += sizeOf(b.Entries[i].Answer)
	}
	return count, bytes + int64(count)*entryCost
}

func (s *Store) importBook(in *Book) {
	if _, ok := s.books[in.Home]; ok {
		return
	}
	b := &book{next: in.Next, entries: make(map[uint64]*entry, len(in.Entries))}
	for _, x := range in.Batches {
		b.batches = append(b.batches, batch{expires: x.Expires, unused: x.Unused})
	}
	for i := range in.Entries {
		x := &in.Entries[i]
		e := &entry{
			expires: x.Expires, ended: x.Ended, outcome: x.Outcome, reason: x.Reason,
			answer: x.Answer, charge: sizeOf(x.Answer),
		}
		copy(e.hash[:], x.Hash)
		b.entries[x.Sequence] = e
		s.scheduleExpiry(ref{in.Home, x.Sequence}, time.Unix(x.Ended, 0).Add(s.window()))
	}
	count, bytes := costOf(in)
	s.count += count
	s.bytes += bytes
	s.books[in.Home] = b
}

// Encode returns the hand-over in CBOR.
func (h *Handover) Encode() ([]byte, error) {
	data, err := cbor.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode hand-over: %w", err)
	}
	return data, nil
}

// DecodeHandover reads what Encode wrote.
func DecodeHandover(data []byte) (*Handover, error) {
	mode, err := cbor.DecOptions{MaxArrayElements: 4 * MaxTickets}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	h := &Handover{}
	if err := mode.Unmarshal(data, h); err != nil {
		return nil, fmt.Errorf("decode hand-over: %w", err)
	}
	return h, nil
}
