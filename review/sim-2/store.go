package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Limits of the store, from PROTOCOL.md and the settings of a small deployment.
const (
	pageRows    = 500
	pageParts   = 1000
	txEntries   = 100
	rowBytes    = 65536 // of a value in base64
	txTime      = 8 * time.Millisecond
	readTime    = 4 * time.Millisecond
	maxFeedWait = 30 * time.Second
)

// store is the platform's metadata store: rows in tables, atomic transactions and a feed of changes. It is sound: it refuses nothing but what
// the protocol says, and loses nothing.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{} // closed and replaced at each change
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
}

func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, r.rowKey())
	} else {
		s.rows[r.rowKey()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row for the operator or a server.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Version: s.version})
	s.notify()
}

// remove deletes a row for the platform.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, "", key}]; !ok {
		return
	}
	s.version++
	s.apply(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notify()
}

// get returns the value of a row without a part, or nil.
func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTx)
	mux.HandleFunc("GET /api/rows-get", s.serveGet)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /api/rows-parts", s.serveParts)
	return mux
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Checks []row `json:"expected_revision"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Checks)+len(q.Writes)+len(q.Remove) > txEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]row{}, q.Writes...), q.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if (len(x.Value)+2)/3*4 > rowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	match := true
	for _, c := range q.Checks {
		found, ok := s.rows[c.rowKey()]
		if ok {
			current = append(current, found)
		}
		match = match && found.Version == c.Version
	}
	if !match {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version, "now_ms": s.now()})
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
	writeJSON(w, http.StatusOK, map[string]any{"row_version": s.version, "now_ms": s.now()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "row_version": s.version, "now_ms": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	time.Sleep(readTime)
	for {
		s.mu.Lock()
		list := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			if s.history[i].Table == q.Get("table") {
				list = append(list, s.history[i])
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
			list[i], list[j] = list[j], list[i]
		}
		left := time.Until(end)
		if len(list) > 0 || left <= 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": list, "row_version": version, "now_ms": s.now()})
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

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") {
			seen[k.part] = true
		}
	}
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	more := len(parts) > pageParts
	if more {
		parts = parts[:pageParts]
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "has_more": more, "row_version": s.version, "now_ms": s.now()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has gone.
	_, _ = w.Write(data)
}
