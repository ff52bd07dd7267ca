package instance

import (
	"net/http"
	"strings"
	"time"
)

// Faults is what an instance does wrong. The zero value is a sound instance.
type Faults struct {
	Delay    time.Duration // waits this long before each answer
	Refuse   bool          // answers 503 with Outcome: notrun and runs nothing
	Leaving  bool          // announces that it is leaving on every answer
	Checked  bool          // announces that it is leaving on answers to GET /health only
	Wrong    bool          // answers with the id of another request
	Truncate bool          // sends half of the body, then closes the connection
	Extra    bool          // sends an answer that nobody asked for after the right one
	Cut      *Cut          // breaks connections at a byte position
}

// Cut breaks a connection once After bytes passed in one direction since SetFaults. The bytes that follow are lost.
type Cut struct {
	Answer bool  // counts bytes of answers instead of bytes of requests
	After  int64 // bytes that pass
	Clean  bool  // closes the connection in order (FIN) instead of resetting it (RST)
}

// FaultHeader sets faults of one request. Its value is a list of words separated by commas: "refuse", "wrong",
// "truncate", "extra" and "delay=20ms".
const FaultHeader = "Fault"

// SetFaults replaces the faults of all requests and starts the byte counts of Cut again.
func (s *Server) SetFaults(f Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for c := range s.conns {
		c.in.Store(0)
		c.out.Store(0)
	}
}

// Silence makes the connections that are open now silent for good: their bytes are acknowledged and dropped and
// nothing is sent on them. New connections work.
func (s *Server) Silence() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// Disconnect closes all connections that are open now.
func (s *Server) Disconnect() {
	s.init()
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// faultsOf returns the faults of all requests together with those that the request itself asks for.
func (s *Server) faultsOf(r *http.Request) Faults {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	for word := range strings.SplitSeq(r.Header.Get(FaultHeader), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(word), "=")
		switch name {
		case "refuse":
			f.Refuse = true
		case "wrong":
			f.Wrong = true
		case "truncate":
			f.Truncate = true
		case "extra":
			f.Extra = true
		case "delay":
			f.Delay, _ = time.ParseDuration(value)
		}
	}
	return f
}

// identity returns the id that the answer carries.
func (s *Server) identity(r *http.Request, f Faults) string {
	id := r.Header.Get("Request")
	if !f.Wrong {
		return id
	}
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	if s.record.last != "" && s.record.last != id {
		return s.record.last
	}
	return id + "x"
}
