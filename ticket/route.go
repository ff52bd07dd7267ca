package ticket

// maxHops bounds a chain of successors. Each hop is one planned stop within the lifetime of a ticket.
const maxHops = 16

// Place says where a request with a ticket is handled.
type Place uint8

// Places of a ticket. The zero value is the safe one: nothing runs.
const (
	// PlaceGone: the home ended without a successor or is not known; the verdict is Gone.
	PlaceGone Place = iota
	// PlaceHere: this daemon handles the request; Begin decides.
	PlaceHere
	// PlaceForward: the request is forwarded to the daemon that Route returns. If that fails, even if the daemon was
	// not reached at all, the verdict is Gone, since an earlier request with the ticket may have run.
	PlaceForward
)

// Member is the state of one process of a daemon, as known to this daemon.
type Member struct {
	Alive     bool // requests may be forwarded to it
	Left      bool // it stopped and handed its tickets over to Successor
	Successor Home
}

// Members looks up one process of a daemon. It returns false if that process is not known, or if a later process of the
// same name replaced it without a hand-over. A process newer than the known one of its name should be returned as
// alive, since its membership record may not have arrived yet: the daemon that is reached under the name then decides
// from its own tickets.
type Members func(h Home) (Member, bool)

// Route returns where a request with the ticket is handled. It follows the successors of daemons that have stopped.
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
