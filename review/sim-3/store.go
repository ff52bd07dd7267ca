package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the platform's store, as its pages give them.
const (
	rowBytes  = 65536
	maxText   = 200
	maxPut    = 100
	pageRows  = 500
	pageBytes = 1 << 20
	txTime    = 8 * time.Millisecond
	readTime  = 4 * time.Millisecond
	keepFor   = 20 * time.Second // history
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type change struct {
	row
	at time.Time
}

// store is the platform's store. All its answers are linearizable.
type store struct {
	mu       sync.Mutex
	version  uint64
	rows     map[rowKey]row
	keys     map[[2]string][]string // by table and part: sorted keys of the rows
	history  []change
	dropped  uint64 // changes up to this version are no longer in the history
	changed  chan struct{}
	begun    time.Time
	tooLarge int // transactions refused since a value exceeds row_bytes
	lastBig  string
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, keys: map[[2]string][]string{}, changed: make(chan struct{}), begun: time.Now()}
}

func (s *store) put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowKey: rowKey{table, part, key}, Value: value, Version: s.version})
	s.notify()
}

// fill adds rows to a part without changes in the history, as if they had been there for long.
func (s *store) fill(list []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[[2]string]bool{}
	for _, r := range list {
		s.version++
		r.Version = s.version
		if _, found := s.rows[r.rowKey]; !found {
			part := [2]string{r.Table, r.Part}
			s.keys[part] = append(s.keys[part], r.Key)
			parts[part] = true
		}
		s.rows[r.rowKey] = r
	}
	for part := range parts {
		slices.Sort(s.keys[part])
	}
}

func (s *store) remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowKey: rowKey{table, part, key}, Version: s.version, Deleted: true})
	s.notify()
}

func (s *store) get(table, part, key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[rowKey{table, part, key}]
	return r.Value, r.Version
}

// part returns the rows of a part.
func (s *store) part(table, part string) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for k, r := range s.rows {
		if k.Table == table && k.Part == part {
			list = append(list, r)
		}
	}
	return list
}

func (s *store) apply(r row) {
	part := [2]string{r.Table, r.Part}
	at, found := slices.BinarySearch(s.keys[part], r.Key)
	switch {
	case r.Deleted && found:
		s.keys[part] = slices.Delete(s.keys[part], at, at+1)
	case !r.Deleted && !found:
		s.keys[part] = slices.Insert(s.keys[part], at, r.Key)
	}
	if r.Deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	now := time.Now()
	s.history = append(s.history, change{r, now})
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > keepFor {
		s.dropped = s.history[n].Version
		n++
	}
	s.history = s.history[n:]
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.read)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	_ = (&http.Server{Handler: mux}).Serve(l)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Checks []row `json:"expected_revision"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(q.Checks) > maxPut || len(q.Writes)+len(q.Remove) > maxPut {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range q.Writes {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(x.Table) > maxText || len(x.Part) > maxText || len(x.Key) > maxText || len(x.Value) > rowBytes {
			s.tooLarge++
			s.lastBig = x.Table + "/" + x.Part + "/" + x.Key + " of " + strconv.Itoa(len(x.Value)) + " bytes"
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	var current []row
	match := true
	for _, c := range q.Checks {
		found := s.rows[c.rowKey]
		found.rowKey = c.rowKey
		current = append(current, found)
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

func (s *store) now() int64 { return time.Since(s.begun).Milliseconds() }

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	time.Sleep(readTime)
	s.mu.Lock()
	table, part, to := q.Get("table"), q.Get("part"), q.Get("to")
	keys := s.keys[[2]string{table, part}]
	first, _ := slices.BinarySearch(keys, q.Get("from"))
	list, more, size := []row{}, false, 0
	for _, key := range keys[first:] {
		if to != "" && key >= to {
			break
		}
		x := s.rows[rowKey{table, part, key}]
		size += len(x.Value)*4/3 + 100
		if len(list) >= limit || (len(list) > 0 && size > pageBytes) {
			more = true
			break
		}
		list = append(list, x)
	}
	version, now := s.version, s.now()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "row_version": version, "now_ms": now})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	time.Sleep(readTime)
	for {
		s.mu.Lock()
		list := []row{}
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Version > after {
				list = append(list, c.row)
			}
		}
		version, gone, changed, now := s.version, after < s.dropped, s.changed, s.now()
		s.mu.Unlock()
		left := time.Until(end)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(list) > 0 || left <= 0:
			writeJSON(w, http.StatusOK, map[string]any{"rows": list, "row_version": version, "now_ms": now})
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

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.Table == r.URL.Query().Get("table") && k.Part > r.URL.Query().Get("after") {
			seen[k.Part] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	list := make([]string, 0, len(seen))
	for p := range seen {
		list = append(list, p)
	}
	sort.Strings(list)
	more := len(list) > 1000
	if more {
		list = list[:1000]
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": list, "has_more": more, "row_version": version})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
