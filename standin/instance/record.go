package instance

import (
	"net/http"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// record counts the runs of requests. The zero value is ready to use.
type record struct {
	mu         sync.Mutex
	runs       map[string]int // by request id
	paths      map[string]int // by path
	total      int
	running    int
	maxRunning int
	lastID     string // request id of the run that started last
	lastStart  time.Time
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
	r.maxRunning = max(r.maxRunning, r.running)
	r.lastID = id
	if timer != nil {
		r.lastStart = timer.Now()
	}
}

func (r *record) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// Runs returns the number of runs of the request with this id.
func (s *Server) Runs(id string) int {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.runs[id]
}

// PathRuns returns the number of runs of requests for a path, over all request ids.
func (s *Server) PathRuns(path string) int {
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

// MaxRunning returns the largest number of requests that ran at once.
func (s *Server) MaxRunning() int {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.maxRunning
}

// LastStart returns the start time of the latest run. It is zero if there was no run or Timer is nil.
func (s *Server) LastStart() time.Time {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.lastStart
}

// Repeated returns the ids of requests that ran more than once.
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

// Forget drops the counts by request id and by path, so that they don't grow without bound in a long-running program.
func (s *Server) Forget() {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	s.record.runs, s.record.paths = nil, nil
}

// Used returns the number of requests received but not yet answered.
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

// Shed returns the number of connections closed at once because Conns was reached.
func (s *Server) Shed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}
