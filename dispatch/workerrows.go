package dispatch

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// The workers that may run tasks of a service are stored in numbered records. A worker keeps its record as long as it is known: a change
// writes one record, and no worker is missing in the store while others are being written.

// workersPerRecord bounds the workers of a record.
const workersPerRecord = 100

// averagesKey is the key in WorkerTable of the record of running averages.
const averagesKey = "averages"

// averagesRecord is the value of this record. Earlier versions have the averages in the first record of workers.
type averagesRecord struct {
	Objective int64   `json:"objective,omitempty"` // mean objective in milliseconds
	Cores     float64 `json:"cores,omitempty"`     // largest size of the pool so far, in cores
}

// workersRecord is the value of a record of workers.
type workersRecord struct {
	Workers []workerRecord `json:"workers"`
	averagesRecord
}

type workerRecord struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Born int64  `json:"born"`
	Host string `json:"host,omitempty"`
	Long bool   `json:"long,omitempty"` // it may have the longest lease, since it has restarted
}

// workerRow is a record of workers.
type workerRow struct {
	number  int
	workers map[string]*worker
	dirty   bool // the record in the store is out of date
	stored  bool // the record may be in the store
}

// key returns the key of the record.
func (r *workerRow) key() string {
	if r.number == 0 {
		return workersKey
	}
	return workersKey + strconv.Itoa(r.number)
}

// rowNumber returns the number of the record with a key, and whether it is one of workers.
func rowNumber(key string) (int, bool) {
	if key == workersKey {
		return 0, true
	}
	text, ok := strings.CutPrefix(key, workersKey)
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n > 0
}

// list returns the workers that the next owner has to contact.
func (r *workerRow) list() []*worker {
	var list []*worker
	for _, w := range r.workers {
		if !w.gone || len(w.attempts) > 0 {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(x, y *worker) int { return strings.Compare(x.info.ID, y.info.ID) })
	return list
}

// encode encodes the record. It returns nil if there are no workers.
func (r *workerRow) encode() []byte {
	var c workersRecord
	for _, w := range r.list() {
		c.Workers = append(c.Workers, w.identity())
	}
	if len(c.Workers) == 0 {
		return nil
	}
	// Encoding this type never fails.
	data, _ := json.Marshal(c)
	return data
}

// newRow adds an empty record.
func (s *Service) newRow() *workerRow {
	r := &workerRow{number: len(s.workerRows), workers: map[string]*worker{}}
	s.workerRows = append(s.workerRows, r)
	return r
}

// recordWorker makes the next batch write the record of a worker, which is given one if it has none.
func (s *Service) recordWorker(w *worker) {
	if w.row == nil {
		i := slices.IndexFunc(s.workerRows, func(r *workerRow) bool { return len(r.workers) < workersPerRecord })
		if i < 0 {
			s.newRow().add(w)
		} else {
			s.workerRows[i].add(w)
		}
	}
	s.markRow(w.row)
}

// forgetWorker removes a worker from its record.
func (s *Service) forgetWorker(w *worker) {
	delete(w.row.workers, w.info.ID)
	s.markRow(w.row)
}

func (s *Service) markRow(r *workerRow) { r.dirty, s.workersDirty = true, true }

func (r *workerRow) add(w *worker) {
	r.workers[w.info.ID] = w
	w.row = r
}

// split moves half of the workers of a record to a new one.
func (s *Service) split(r *workerRow) *workerRow {
	next := s.newRow()
	ids := slices.Sorted(maps.Keys(r.workers))
	for _, id := range ids[len(ids)/2:] {
		next.add(r.workers[id])
		delete(r.workers, id)
	}
	s.markRow(r)
	s.markRow(next)
	return next
}

// fitted returns a record and those that it has to share its workers with so that each fits the store.
func (s *Service) fitted(r *workerRow) []*workerRow {
	if len(r.encode()) <= maxValue || len(r.workers) == 1 {
		return []*workerRow{r}
	}
	next := s.split(r)
	return append(s.fitted(next), s.fitted(r)...)
}

// putWorkers adds the records of workers that have changed to the batch, as far as it has room.
func (s *Service) putWorkers(b *Batch) {
	if !s.workersDirty && !s.averagesDirty {
		return
	}
	s.workersDirty, s.averagesDirty = false, false
	for _, r := range slices.Backward(slices.Clone(s.workerRows)) {
		if r.dirty && !s.putRows(b, s.fitted(r)) {
			s.workersDirty = true
		}
	}
	s.putAverages(b)
}

// putRows adds records of workers, which are stored together, to the batch. It returns false if the batch has no room.
func (s *Service) putRows(b *Batch, rows []*workerRow) bool {
	u := unit{
		again: func(b *Batch) bool {
			s.putRows(b, rows)
			return true
		},
		refused: func(time.Time) bool {
			if len(rows) == 1 && len(rows[0].workers) > 1 {
				s.split(rows[0])
			}
			return len(rows) > 1 || len(rows[0].workers) > 1
		},
	}
	for _, r := range rows {
		switch value := r.encode(); {
		case value != nil:
			u.puts = append(u.puts, s.put(WorkerTable, r.key(), value))
		case r.stored:
			u.deletes = append(u.deletes, s.key(WorkerTable, r.key()))
		default:
			r.dirty = false
		}
	}
	if u.entries() == 0 {
		return true
	}
	switch s.add(b, u) {
	case unitNoRoom:
		return false
	case unitAdded:
		b.addRows(rows)
	case unitWithheld:
	}
	for _, r := range rows {
		r.dirty = false
	}
	return true
}

// addRows records which workers a batch stores.
func (b *Batch) addRows(rows []*workerRow) {
	if b.workers == nil {
		b.workers = map[*worker]workerRecord{}
	}
	b.rows = append(b.rows, rows...)
	for _, r := range rows {
		for _, w := range r.list() {
			b.workers[w] = w.identity()
		}
	}
}

// putAverages adds the record of the averages to the batch if they have changed.
func (s *Service) putAverages(b *Batch) {
	a := averagesRecord{Objective: s.meanObjective.Milliseconds(), Cores: s.maxCores}
	if a == s.averagesPut {
		return
	}
	// Encoding this type never fails.
	data, _ := json.Marshal(a)
	again := func(b *Batch) bool {
		s.putAverages(b)
		return true
	}
	switch s.add(b, unit{puts: []cuminstair.RecordPut{s.put(WorkerTable, averagesKey, data)}, again: again}) {
	case unitAdded:
		s.averagesPut, b.averages = a, true
	case unitNoRoom:
		s.averagesDirty = true
	case unitWithheld:
	}
}

// rowsStored records that the records of workers in a batch are stored.
func (s *Service) rowsStored(b *Batch) {
	for _, r := range b.rows {
		r.stored = len(r.workers) > 0
	}
	for w, identity := range b.workers {
		if !w.recorded && !w.gone && w.identity() == identity {
			w.recorded = true
			s.changed = true
		}
	}
}

// recoverWorkers reads a record of the workers that an earlier owner may have used.
func (s *Service) recoverWorkers(number int, rec cuminstair.Record) {
	var c workersRecord
	if err := json.Unmarshal(rec.Value, &c); err != nil {
		s.Log.Error("dispatch: can't decode the worker record", "service", s.Name, "version", rec.Version, "error", err)
		return
	}
	for len(s.workerRows) <= number {
		s.newRow()
	}
	row := s.workerRows[number]
	row.stored = true
	for _, x := range c.Workers {
		if old := s.workers[x.ID]; old != nil {
			s.markRow(row) // an earlier version has moved it to another record
			if old.info.Incarnation >= x.Born {
				continue
			}
			s.forgetWorker(old)
		}
		w := newWorker(s.takenOverAt, cuminstair.WorkerInfo{ID: x.ID, Service: s.Name, Addr: x.Addr, Incarnation: x.Born, Host: x.Host})
		w.shares = s.limitShares
		w.recorded, w.longLease, w.leaseUnsure = true, x.Long, x.Long
		row.add(w)
		s.workers[x.ID] = w
		s.inherited[x.ID] = true
	}
	s.recoverAverages(c.averagesRecord)
}

// recoverAverages restores the running averages of the earlier owner.
func (s *Service) recoverAverages(a averagesRecord) {
	s.meanObjective = cmp.Or(time.Duration(a.Objective)*time.Millisecond, s.meanObjective)
	s.maxCores = cmp.Or(a.Cores, s.maxCores)
}

// recoverWorkerTable restores what the records of WorkerTable have, but for the starts without an answer, whose records it returns: they
// refer to jobs.
func (s *Service) recoverWorkerTable(records []cuminstair.Record) (unanswered []cuminstair.Record) {
	slices.SortFunc(records, func(x, y cuminstair.Record) int { return cmp.Compare(x.Key, y.Key) })
	var averages averagesRecord
	for _, r := range records {
		number, isRow := rowNumber(r.Key)
		switch {
		case isRow:
			s.recoverWorkers(number, r)
		case r.Key == unansweredKey:
			unanswered = append(unanswered, r)
		case r.Key == closedKey:
			s.recoverClosings(r)
		case r.Key == averagesKey:
			if err := json.Unmarshal(r.Value, &averages); err != nil {
				s.Log.Error("dispatch: can't decode the averages", "service", s.Name, "version", r.Version, "error", err)
			}
		default:
			s.Log.Warn("dispatch: unknown record", "service", s.Name, "table", r.Table, "key", r.Key, "version", r.Version)
		}
	}
	s.recoverAverages(averages)
	s.averagesPut = averages
	return unanswered
}
