package dispatch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"cuminstair.org/cuminstair"
)

// The progress of a job is one record while it is short. That of a large job is split: the main record has the state, others
// have the occurrences, and others the tasks of which more is known than whether they are done, by blocks. A job that was
// split stays so. The main record and the occurrences are written together. The records of tasks may follow in later batches,
// and only those that have changed are written.

// Sizes of split progress.
const (
	// maxValue bounds the bytes of a value; the platform accepts 64 KB after base64.
	maxValue = 48 << 10
	// splitValue is the size in bytes from which the progress of a job is split.
	splitValue = 24 << 10
	// headBytes bounds the bytes of the occurrences that share a record.
	headBytes = 24 << 10
	// blockTasks is the number of tasks of a step whose progress shares a record.
	blockTasks = 64
	// maxSavedCheckpoint bounds the bytes of an encoded checkpoint in a record. After a takeover, a task whose checkpoint is
	// longer starts from the beginning.
	maxSavedCheckpoint = 256
	// escapedBytes is the most bytes that a byte of a text takes when it is encoded.
	escapedBytes = 6
)

// partSeparator follows the ID of a job in the keys of its split progress. IDs do not have it.
const partSeparator = "."

// part is a record of split progress; its value is a runRecord.
type part struct {
	key   string
	value []byte
}

// progress is the progress of a job as records.
type progress struct {
	main        []byte
	occurrences []part // to be written together with main
	tasks       []part // of tasks and gangs
}

func (j *job) progress() progress {
	r := j.runRecord()
	p := progress{main: encodeRun(r)}
	if !j.split && len(p.main) <= splitValue {
		return p
	}
	j.split = true
	for i := range r.Runs {
		p.tasks = append(p.tasks, j.taskParts(&r.Runs[i])...)
		if gangs := r.Runs[i].Gangs; len(gangs) > 0 {
			key := j.id + partSeparator + "g" + strconv.Itoa(r.Runs[i].Number)
			p.tasks = append(p.tasks, part{key: key, value: encodeRun(runRecord{Runs: []occRecord{{Number: r.Runs[i].Number, Gangs: gangs}}})})
		}
		r.Runs[i].Tasks, r.Runs[i].Gangs = nil, nil
	}
	p.occurrences = j.occurrenceParts(r.Runs)
	r.Runs = nil
	p.main = encodeRun(r)
	return p
}

// occurrenceParts returns the records of occurrences without their tasks.
func (j *job) occurrenceParts(list []occRecord) []part {
	var parts []part
	first, size := 0, 0
	add := func(end int) {
		parts = append(parts, part{
			key:   j.id + partSeparator + "o" + strconv.Itoa(len(parts)),
			value: encodeRun(runRecord{Runs: list[first:end]}),
		})
		first, size = end, 0
	}
	for i := range list {
		// Encoding this type never fails.
		data, _ := json.Marshal(list[i])
		if i > first && size+len(data) > headBytes {
			add(i)
		}
		size += len(data)
	}
	if first < len(list) {
		add(len(list))
	}
	return parts
}

// taskParts returns the records of the tasks of an occurrence.
func (j *job) taskParts(o *occRecord) []part {
	var parts []part
	for first := 0; first < len(o.Tasks); {
		step, block := o.Tasks[first].Step, o.Tasks[first].Index/blockTasks
		end := first
		for end < len(o.Tasks) && o.Tasks[end].Step == step && o.Tasks[end].Index/blockTasks == block {
			end++
		}
		key := fmt.Sprintf("%s%st%d.%d.%d", j.id, partSeparator, o.Number, step, block)
		parts = appendTasks(parts, key, o.Number, o.Tasks[first:end])
		first = end
	}
	return parts
}

// appendTasks adds a record of tasks, or several if it would be too large.
func appendTasks(parts []part, key string, occurrence int, tasks []taskRecord) []part {
	value := encodeRun(runRecord{Runs: []occRecord{{Number: occurrence, Tasks: tasks}}})
	if len(value) <= maxValue || len(tasks) == 1 {
		return append(parts, part{key: key, value: value})
	}
	half := len(tasks) / 2
	parts = appendTasks(parts, key+"a", occurrence, tasks[:half])
	return appendTasks(parts, key+"b", occurrence, tasks[half:])
}

func encodeRun(r runRecord) []byte {
	// Encoding this type never fails.
	data, _ := json.Marshal(r)
	return data
}

// savedCheckpoint returns a checkpoint as it is stored; empty: it is too long.
func savedCheckpoint(value string) string {
	if len(value)*escapedBytes <= maxSavedCheckpoint || len(value) <= maxSavedCheckpoint && encodedBytes(value) <= maxSavedCheckpoint {
		return value
	}
	return ""
}

// encodedBytes returns the most bytes that a text takes when it is encoded.
func encodedBytes(text string) int {
	n := 0
	for _, c := range []byte(text) {
		switch {
		case c < ' ', c >= utf8.RuneSelf, strings.IndexByte(`"\\<>&`, c) >= 0:
			n += escapedBytes
		default:
			n++
		}
	}
	return n
}

func checksum(value []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(value)
	return h.Sum64()
}

// progressChange is what of a job's progress differs from the store.
type progressChange struct {
	main        bool // the main record has changed
	occurrences []part
	stale       []string // keys of records of occurrences that are no longer needed
	staleTasks  []string // keys of records of tasks that are no longer needed
}

// changeOf returns what of the progress differs from the store.
func (j *job) changeOf(p *progress) progressChange {
	c := progressChange{main: j.mainSum != checksum(p.main)}
	current := map[string]bool{}
	for _, x := range slices.Concat(p.occurrences, p.tasks) {
		current[x.key] = true
	}
	for key := range j.parts {
		switch {
		case current[key]:
		case strings.HasPrefix(key, j.id+partSeparator+"o"):
			c.stale = append(c.stale, key)
		default:
			c.staleTasks = append(c.staleTasks, key)
		}
	}
	for _, x := range p.occurrences {
		if j.parts[x.key] != checksum(x.value) {
			c.occurrences = append(c.occurrences, x)
		}
	}
	return c
}

// headOf returns the changes of the records of a job that are stored together: the main record, and those of occurrences.
func (s *Service) headOf(j *job, p *progress, c *progressChange) (puts []cuminstair.RecordPut, deletes []cuminstair.RecordKey) {
	if !c.main && len(c.occurrences) == 0 && len(c.stale) == 0 {
		return nil, nil
	}
	puts = append(puts, s.put(RunTable, j.id, p.main))
	for _, x := range c.occurrences {
		puts = append(puts, s.put(RunTable, x.key, x.value))
	}
	for _, key := range c.stale {
		deletes = append(deletes, s.key(RunTable, key))
	}
	return puts, deletes
}

// headAdded records that a batch has the records that headOf has returned.
func (j *job) headAdded(b *Batch, p *progress, c *progressChange) {
	j.mainSum = checksum(p.main)
	for _, x := range c.occurrences {
		j.setPart(b, x)
	}
	for _, key := range c.stale {
		j.dropPart(b, key)
	}
}

// putTasks adds the changed records of a job's tasks to the batch, and reports whether all have found room.
func (s *Service) putTasks(b *Batch, j *job, p *progress, c *progressChange) bool {
	again := func(*Batch) bool {
		if s.jobs[j.id] != j {
			return false
		}
		s.markDirty(j)
		return true
	}
	for _, x := range p.tasks {
		if j.parts[x.key] == checksum(x.value) {
			continue
		}
		switch s.add(b, unit{puts: []cuminstair.RecordPut{s.put(RunTable, x.key, x.value)}, again: again}) {
		case unitNoRoom:
			return false
		case unitAdded:
			j.setPart(b, x)
		case unitWithheld:
		}
	}
	for _, key := range c.staleTasks {
		if s.add(b, unit{deletes: []cuminstair.RecordKey{s.key(RunTable, key)}, again: again}) == unitNoRoom {
			return false
		}
		j.dropPart(b, key)
	}
	return true
}

// setPart records that a batch has a record of split progress.
func (j *job) setPart(b *Batch, x part) {
	if j.parts == nil {
		j.parts = map[string]uint64{}
	}
	j.parts[x.key] = checksum(x.value)
	b.parts[j] = append(b.parts[j], x.key)
}

// dropPart records that a batch deletes a record of split progress.
func (j *job) dropPart(b *Batch, key string) {
	delete(j.parts, key)
	b.parts[j] = append(b.parts[j], key)
}

// partsNotStored makes the next batch write or delete the records of progress again that a batch has not changed.
func (j *job) partsNotStored(keys []string) {
	j.mainSum = 0
	for _, key := range keys {
		j.parts[key] = 0
	}
}

// mergeParts adds the records of split progress to the main record.
func (j *job) mergeParts(r *runRecord, parts []cuminstair.Record) error {
	if len(parts) == 0 {
		return nil
	}
	j.split, j.parts = true, map[string]uint64{}
	tasks, gangs := map[int][]taskRecord{}, map[int][]gangRecord{}
	for _, p := range parts {
		j.parts[p.Key] = checksum(p.Value)
		var x runRecord
		if err := json.Unmarshal(p.Value, &x); err != nil {
			return fmt.Errorf("decode progress %s: %w", p.Key, err)
		}
		for _, o := range x.Runs {
			if o.Done != nil {
				r.Runs = append(r.Runs, o)
				continue
			}
			tasks[o.Number] = append(tasks[o.Number], o.Tasks...)
			gangs[o.Number] = append(gangs[o.Number], o.Gangs...)
		}
	}
	slices.SortFunc(r.Runs, func(a, b occRecord) int { return cmp.Compare(a.Number, b.Number) })
	for i := range r.Runs {
		o := &r.Runs[i]
		o.Tasks, o.Gangs = append(o.Tasks, tasks[o.Number]...), append(o.Gangs, gangs[o.Number]...)
	}
	return nil
}
