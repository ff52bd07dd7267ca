// Package site simulates the users' platform in tests: its store, its workers, its host controller and its operator, on
// loopback addresses. It implements the users' protocol and records violations: events that must never happen on a
// worker.
package site

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store.
const (
	maxRow     = 64 << 10 // bytes of a value after base64
	maxText    = 200      // bytes of each text of a key
	maxEntries = 100      // of a transaction
	maxTx      = 1 << 20  // bytes of the body of a transaction
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

// fits reports whether the row is within the limits.
func (r row) fits() bool {
	return base64.StdEncoding.EncodedLen(len(r.Value)) <= maxRow && max(len(r.Table), len(r.Part), len(r.Key)) <= maxText
}

func (r row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is the platform's store. Its faults may be set while it is serving.
type Store struct {
	mu          sync.Mutex
	version     uint64
	rows        map[rowKey]row
	history     []row
	compacted   uint64        // history holds only the changes after this version
	changed     chan struct{} // closed at each change
	down        bool
	loseAnswers int // number of next transactions that get no answer
	started     time.Time
}

func newStore() *Store {
	return &Store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

// SetDown makes the store reject all calls, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers makes the store carry out the next n transactions without answering them.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.version
}

// Put writes a row without a version check, on behalf of the operator or a worker.
func (s *Store) Put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Value: value, Version: s.version})
	s.notify()
}

// Remove deletes a row.
func (s *Store) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Version: s.version, Deleted: true})
	s.notify()
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

func (s *Store) notify() {
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
		Checks []row `json:"expected_revision"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) > maxTx || json.Unmarshal(body, &q) != nil || len(q.Checks)+len(q.Writes)+len(q.Remove) > maxEntries ||
		slices.ContainsFunc(slices.Concat(q.Checks, q.Writes, q.Remove), func(x row) bool { return !x.fits() }) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	match := true
	for _, c := range q.Checks {
		found := s.rows[c.key()]
		found.Table, found.Part, found.Key = c.Table, c.Part, c.Key
		current = append(current, found)
		match = match && found.Version == c.Version
	}
	if !match {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version})
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
	s.notify()
	if s.loseAnswers > 0 {
		s.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"row_version": s.version, "now_ms": time.Since(s.started).Milliseconds()})
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
	writeJSON(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "row_version": s.version})
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
		version, gone, changed := s.version, after < s.compacted, s.changed
		s.mu.Unlock()
		remaining := time.Until(end)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(list) > 0 || remaining <= 0:
			writeJSON(w, http.StatusOK, map[string]any{"rows": list, "row_version": version})
			return
		}
		select {
		case <-changed:
		case <-time.After(remaining):
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
	writeJSON(w, http.StatusOK, map[string]any{"parts": list, "has_more": false})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(data)
}
