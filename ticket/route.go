package ticket

// maxHops bounds a chain of successors. Each hop is a planned stop within the life of a ticket.
const maxHops = 16

// Place is where a request under a ticket goes.
type Place uint8

// Places of a ticket. The zero value is the safe one.
const (
	// PlaceGone: the home ended without a successor or is not known; the verdict is Gone.
	PlaceGone Place = iota
	// PlaceHere: Begin decides.
	PlaceHere
	// PlaceForward: the request is forwarded to the daemon. If that fails, even if the daemon was not reached at all,
	// the verdict is Gone, since an earlier request under the ticket may have run.
	PlaceForward
)

// Member is what routing knows about one run of a daemon.
type Member struct {
	Alive     bool // it may be asked
	Left      bool // it stopped and handed its tickets over to Successor
	Successor Home
}

// Members finds one run of a daemon. It returns false if that run is not known or was followed by another one without
// having handed over. A run that is newer than the known one of its name is best taken for alive, since the news of it
// may be on the way: the daemon that is reached under the name decides, and knows its own tickets.
type Members func(h Home) (Member, bool)

// Route returns where the ticket is honoured, following successors.
func (s *Store) Route(t Ticket, members Members) (Place, Home) {
	at := t.Home
	for range maxHops {
		if _, ok := s.books[at]; ok || at == s.Self {
			if !s.exported {
				return PlaceHere, s.Self
			}
			at = s.successor
			continue
		}
		m, ok := members(at)
		switch {
		case !ok:
			return PlaceGone, Home{}
		case m.Left && m.Successor != (Home{}):
			at = m.Successor
		case m.Alive:
			return PlaceForward, at
		default:
			return PlaceGone, Home{}
		}
	}
	return PlaceGone, Home{}
}
