package instance

import (
	"net/http"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// record counts runs. The zero value is ready to use.
type record struct {
	mu      sync.Mutex
	runs    map[string]int // by request id
	paths   map[string]int // by path
	total   int
	running int
	most    int
	last    string // id of the run that began last
	lastAt  time.Time
}

func (r *record) begin(req *http.Request, timer cuminstair.Timer) {
	id := req.Header.Get("Request")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
		r.paths = map[string]int{}
	}
	r.runs[id]++
	r.paths[req.URL.Path]++
	r.total++
	r.running++
	r.most = max(r.most, r.running)
	r.last = id
	if timer != nil {
		r.lastAt = timer.Now()
	}
}

func (r *record) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// Runs returns how often the request with this id ran.
func (s *Server) Runs(id string) int {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.runs[id]
}

// Path returns how often requests for a path ran, whatever their ids.
func (s *Server) Path(path string) int {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.paths[path]
}

// Total returns the number of runs.
func (s *Server) Total() int {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.total
}

// Most returns the largest number of requests that ran at once.
func (s *Server) Most() int {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.most
}

// Last returns when the last run began; zero without a run or a timer.
func (s *Server) Last() time.Time {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.lastAt
}

// Repeated returns the ids that ran more than once.
func (s *Server) Repeated() []string {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	var ids []string
	for id, n := range s.record.runs {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget empties the record, so that a program that runs for long doesn't grow.
func (s *Server) Forget() {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	s.record.runs, s.record.paths = nil, nil
}

// Used returns the number of requests received and not answered yet.
func (s *Server) Used() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shed returns the number of connections that were closed at once because of Conns.
func (s *Server) Shed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}
