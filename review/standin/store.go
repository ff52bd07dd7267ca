package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the pages give them.
const (
	maxRowBytes    = 65536
	maxTxEntries   = 100
	maxTxBytes     = 1 << 20
	maxPageRows    = 500
	transactionLag = 8 * time.Millisecond
	readLag        = 2 * time.Millisecond
)

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

// storeFaults are the disruptions of the store as one daemon sees it.
type storeFaults struct {
	Silent bool    // calls get no answer and have no effect
	Busy   bool    // calls get 503 and have no effect
	Lose   float64 // share of the transactions that are carried out and not answered
	Late   float64 // share of the transactions that are carried out 1 to 6 s later and not answered
}

// store is the platform's metadata store. Each daemon has an address of its own, so that it can be cut off alone.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	forgot  uint64
	changed chan struct{}
	faults  map[string]storeFaults
	refused map[int]int // by status: refused transactions
	largest int         // bytes of the largest value that was refused
	begun   time.Time
	rec     *record
}

func newStore(rec *record) *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), faults: map[string]storeFaults{}, refused: map[int]int{}, begun: time.Now(), rec: rec}
}

func (s *store) put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Value: value, Version: s.version})
	s.notify()
}

func (s *store) remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, part, key}]; !ok {
		return
	}
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Version: s.version, Deleted: true})
	s.notify()
}

func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, r.key())
	} else {
		s.rows[r.key()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgot = nil, s.version
}

func (s *store) setFaults(node string, f storeFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[node] = f
}

// serve serves the store to one daemon and returns the address.
func (s *store) serve(node string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.tx(node, w, r) })
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	return serveHTTP("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults[node]
		s.mu.Unlock()
		switch {
		case f.Silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case f.Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

type transaction struct {
	Checks []row `json:"expected_revision"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
}

// valid returns 0, or the status with which the store refuses the transaction.
func (q *transaction) valid(size int) int {
	if size > maxTxBytes || len(q.Checks)+len(q.Writes)+len(q.Remove) > maxTxEntries {
		return http.StatusBadRequest
	}
	for _, x := range q.Writes {
		if len(x.Value) > maxRowBytes {
			return http.StatusBadRequest
		}
	}
	return 0
}

func (s *store) tx(node string, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var q transaction
	if err == nil {
		err = json.Unmarshal(data, &q)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionLag)
	s.mu.Lock()
	if status := q.valid(len(data)); status != 0 {
		if s.refused[status] == 0 {
			s.rec.add("store refuses a transaction of %s with %d: %d entries, %d bytes, largest value %d bytes", node, status,
				len(q.Checks)+len(q.Writes)+len(q.Remove), len(data), largestValue(q))
		}
		s.refused[status]++
		s.largest = max(s.largest, largestValue(q))
		s.mu.Unlock()
		w.WriteHeader(status)
		return
	}
	f := s.faults[node]
	if f.Late > 0 && rand.Float64() < f.Late {
		s.mu.Unlock()
		time.AfterFunc(time.Second+time.Duration(rand.Int64N(int64(5*time.Second))), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.commit(&q)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	current, ok := s.commit(&q)
	version := s.version
	s.mu.Unlock()
	if f.Lose > 0 && rand.Float64() < f.Lose {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": version, "now_ms": time.Since(s.begun).Milliseconds()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"row_version": version, "now_ms": time.Since(s.begun).Milliseconds()})
}

func largestValue(q transaction) int {
	n := 0
	for _, x := range q.Writes {
		n = max(n, len(x.Value))
	}
	return n
}

// commit carries a transaction out if its conditions hold; otherwise it returns the rows of the conditions.
func (s *store) commit(q *transaction) ([]row, bool) {
	var current []row
	match := true
	for _, c := range q.Checks {
		found := s.rows[c.key()]
		found.Table, found.Part, found.Key = c.Table, c.Part, c.Key
		current = append(current, found)
		match = match && found.Version == c.Version
	}
	if !match {
		return current, false
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
	return nil, true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(readLag)
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > maxPageRows
	if more {
		list = list[:maxPageRows]
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "row_version": s.version, "now_ms": time.Since(s.begun).Milliseconds()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				list = append(list, x)
			}
		}
		version, gone, changed := s.version, after < s.forgot, s.changed
		s.mu.Unlock()
		left := time.Until(end)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(list) > 0 || left <= 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": list, "row_version": version, "now_ms": time.Since(s.begun).Milliseconds()})
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
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") {
			seen[k.part] = true
		}
	}
	list := []string{}
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
	// An error means that the client has gone.
	_, _ = w.Write(data)
}

// listeners are those of the store and of the list of machines.
var listeners []*mutable

// serveHTTP serves on an address and returns it with its port.
func serveHTTP(addr string, h http.Handler) string {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fatal("listen: %v", err)
	}
	m := &mutable{Listener: l}
	listeners = append(listeners, m)
	go func() { _ = http.Serve(m, h) }()
	return l.Addr().String()
}
