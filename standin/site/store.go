// Package site stands in for the users' platform in tests: its store, its workers, its controller of hosts and its
// operator, on loopback addresses. It speaks the users' protocol and notes what must never happen on a worker.
package site

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is the platform's store. Its faults may be set while it serves.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	since   uint64        // changes up to here are dropped
	changed chan struct{} // closed at each change
	down    bool
	lose    int // answers of the next transactions to lose
	begin   time.Time
}

func newStore() *Store {
	return &Store{rows: map[rowKey]row{}, changed: make(chan struct{}), begin: time.Now()}
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers makes the store carry out the next n transactions without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.since = nil, s.version
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Value: value, Version: s.version})
	s.wake()
}

// Remove drops a row.
func (s *Store) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Version: s.version, Deleted: true})
	s.wake()
}

// Get returns the value of a row, or nil.
func (s *Store) Get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *Store) apply(r row) {
	if r.Deleted {
		delete(s.rows, r.key())
	} else {
		s.rows[r.key()] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var q struct {
		On     []row `json:"expected_revision"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	held := true
	for _, c := range q.On {
		now := s.rows[c.key()]
		now.Table, now.Part, now.Key = c.Table, c.Part, c.Key
		current = append(current, now)
		held = held && now.Version == c.Version
	}
	if !held {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version})
		return
	}
	s.version++
	for _, x := range q.Writes {
		x.Version, x.Deleted = s.version, false
		s.apply(x)
	}
	for _, x := range q.Remove {
		x.Version, x.Deleted, x.Value = s.version, true, nil
		s.apply(x)
	}
	s.wake()
	if s.lose > 0 {
		s.lose--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]any{"row_version": s.version, "now_ms": time.Since(s.begin).Milliseconds()})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	const page = 500
	more := len(list) > page
	if more {
		list = list[:page]
	}
	answer(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "row_version": s.version})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || (werr != nil && q.Get("wait_ms") != "") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list := s.changes(q.Get("table"), after)
		version, gone, changed := s.version, after < s.since, s.changed
		s.mu.Unlock()
		left := time.Until(end)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(list) > 0 || left <= 0:
			answer(w, http.StatusOK, map[string]any{"rows": list, "row_version": version})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changes(table string, after uint64) []row {
	var list []row
	for _, x := range s.history {
		if x.Table == table && x.Version > after {
			list = append(list, x)
		}
	}
	return list
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") {
			seen[k.part] = true
		}
	}
	list := make([]string, 0, len(seen))
	for p := range seen {
		list = append(list, p)
	}
	sort.Strings(list)
	answer(w, http.StatusOK, map[string]any{"parts": list, "has_more": false})
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may be gone.
	_, _ = w.Write(data)
}
