package instance

import (
	"net/http"
	"strings"
	"time"
)

// Faults are the faults that an instance injects. The zero value injects none.
type Faults struct {
	Delay           time.Duration // waits this long before each answer
	Refuse          bool          // answers 503 with Outcome: notrun and does not run the request
	Leaving         bool          // sends the header Leaving with every answer
	LeavingOnHealth bool          // sends the header Leaving with answers to GET /health only
	WrongID         bool          // sends the id of another request in the answer
	Truncate        bool          // sends half of the body, then closes the connection
	Extra           bool          // sends a second, unrequested answer after the right one
	Cut             *Cut          // breaks connections after a number of bytes
}

// Cut breaks a connection after After bytes in one direction, counted from SetFaults. Later bytes are lost.
type Cut struct {
	Answer bool  // counts bytes of answers instead of bytes of requests
	After  int64 // bytes to transfer before the break
	Clean  bool  // closes the connection with FIN instead of RST
}

// FaultHeader is the request header that sets faults for this request only. Its value is a comma-separated list of
// "refuse", "wrong", "truncate", "extra" and "delay=20ms".
const FaultHeader = "Fault"

// SetFaults replaces the faults for all requests and resets the byte counts of Cut.
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

// Silence makes all currently open connections permanently silent: TCP acknowledges incoming bytes, but they are
// discarded, and nothing is sent. New connections work normally.
func (s *Server) Silence() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// Disconnect closes all currently open connections.
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

// faultsOf returns the faults set by SetFaults, combined with those in the FaultHeader of the request.
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
			f.WrongID = true
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

// answerID returns the request id to send in the answer. With Faults.WrongID it differs from the id of the request.
func (s *Server) answerID(r *http.Request, f Faults) string {
	id := r.Header.Get("Request")
	if !f.WrongID {
		return id
	}
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	if s.record.lastID != "" && s.record.lastID != id {
		return s.record.lastID
	}
	return id + "x"
}
