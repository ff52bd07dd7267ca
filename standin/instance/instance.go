// Package instance simulates an upstream: one service instance with a bounded number of slots and connections. It
// counts the runs of each request id and injects faults that a test sets.
package instance

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// Limits of an instance, from the table of section 1.2 of docs/design.md.
const (
	DefaultSlots = 8
	DefaultConns = 64
)

// Health is the answer to GET /health.
type Health struct {
	State string `json:"state"` // "ok" or "leaving"
	Slots int    `json:"slots"`
	Used  int    `json:"used"` // requests received but not yet answered; exceeds Slots while requests wait for a slot
}

// Server is one instance. Set the exported fields before Serve. It is safe for concurrent use.
type Server struct {
	Timer cuminstair.Timer // for Faults.Delay and LastStart; may be nil without them
	Slots int              // maximum number of requests that run at once; 0: DefaultSlots
	Conns int              // maximum number of connections; further ones are closed at once; 0: DefaultConns
	// Answer returns the body of an answer. If it is nil, the body of the request is returned.
	Answer func(r *http.Request, body []byte) []byte
	// Header holds optional headers that are added to the answer to each run.
	Header http.Header
	// Chunked sends answers with chunked transfer encoding, without a Content-Length.
	Chunked bool
	// Raw, if not empty, is written to the connection in place of the answer to each run; the connection is then closed.
	Raw string
	// Waiting, if not nil, receives a value when a request starts to wait for Faults.Delay.
	Waiting chan struct{}
	// Dropped, if not nil, receives a value when bytes arrive on a silent connection.
	Dropped chan struct{}

	once   sync.Once
	slots  chan struct{}
	record record

	mu     sync.Mutex
	faults Faults
	conns  map[*conn]bool
	used   int
	shed   int // connections closed because Conns was reached
	server http.Server
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Slots == 0 {
			s.Slots = DefaultSlots
		}
		if s.Conns == 0 {
			s.Conns = DefaultConns
		}
		s.slots = make(chan struct{}, s.Slots)
		s.conns = map[*conn]bool{}
		s.server.Handler = s
	})
}

// Serve accepts connections until Close. It returns http.ErrServerClosed after Close.
func (s *Server) Serve(l net.Listener) error {
	s.init()
	return s.server.Serve(&listener{Listener: l, server: s})
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	s.init()
	return s.server.Close()
}

// ServeHTTP answers /health and runs requests for all other paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	if r.URL.Path == "/health" {
		s.health(w)
		return
	}
	s.run(w, r)
}

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	h := Health{State: "ok", Slots: s.Slots, Used: s.used}
	leaving := s.faults.Leaving || s.faults.LeavingOnHealth
	s.mu.Unlock()
	if leaving {
		h.State = "leaving"
		w.Header().Set("Leaving", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	faults := s.faultsOf(r)
	if faults.Leaving {
		w.Header().Set("Leaving", "1")
	}
	w.Header().Set("Request", s.answerID(r, faults))
	if faults.Refuse {
		w.Header().Set("Outcome", cuminstair.OutcomeNotRun.String())
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	s.addUsed(1)
	defer s.addUsed(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	// The run is recorded before the body is read, so that a test also counts runs whose body was incomplete.
	s.record.begin(r, s.Timer)
	defer s.record.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "read the body: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.delay(r, faults)
	s.answer(w, r, body, faults)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	if s.Answer != nil {
		body = s.Answer(r, body)
	}
	maps.Copy(w.Header(), s.Header)
	if s.Raw != "" {
		writeRaw(w, s.Raw, false)
		return
	}
	if f.Extra {
		writeExtra(w, r, body)
		return
	}
	if s.Chunked {
		w.Header().Set("Transfer-Encoding", "chunked")
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if f.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// writeExtra sends the answer, followed by a second, unrequested one on the same connection.
func writeExtra(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("Request")
	const format = "HTTP/1.1 200 OK\r\nRequest: %s\r\nContent-Length: %d\r\n\r\n%s"
	first := fmt.Sprintf(format, id, len(body), body)
	extra := fmt.Sprintf(format, id+"x", len("extra"), "extra")
	writeRaw(w, first+extra, true)
}

// writeRaw writes text to the connection, then closes the connection. If open is set, it lets the client close first.
func writeRaw(w http.ResponseWriter, text string, open bool) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, text)
	if open {
		_, _ = io.Copy(io.Discard, c)
	}
}

func (s *Server) addUsed(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += n
}

// delay waits for Faults.Delay. It returns early if the connection is closed.
func (s *Server) delay(r *http.Request, f Faults) {
	if f.Delay <= 0 {
		return
	}
	passed := make(chan struct{})
	stop := s.Timer.After(f.Delay, func(time.Time) { close(passed) })
	if s.Waiting != nil {
		s.Waiting <- struct{}{}
	}
	select {
	case <-passed:
	case <-r.Context().Done():
		stop()
	}
}
