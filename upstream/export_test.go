package upstream

// Unused returns how many connections to an address are unused.
func (s *Sender) Unused(addr string) int {
	p := s.existing(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Inflight returns how many permits of an address are taken.
func (s *Sender) Inflight(addr string) int { return len(s.existing(addr).permits) }

func (s *Sender) existing(addr string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[addr]
}
