package dispatch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

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
	// maxSavedCheckpoint bounds the bytes of a stored checkpoint. After a takeover, a task whose checkpoint is longer starts
	// from the beginning.
	maxSavedCheckpoint = 256
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
	tasks       []part
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
		r.Runs[i].Tasks = nil
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

// savedCheckpoint returns a checkpoint as it is stored.
func savedCheckpoint(value string) string {
	if len(value) > maxSavedCheckpoint {
		return ""
	}
	return value
}

func checksum(value []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(value)
	return h.Sum64()
}

// putProgress adds the records of a job's progress to the batch, as far as it has room, and returns their size in bytes and
// whether the progress is complete.
func (s *Service) putProgress(b *Batch, j *job, size int) (added int, complete bool) {
	p := j.progress()
	current := map[string]bool{}
	for _, x := range slices.Concat(p.occurrences, p.tasks) {
		current[x.key] = true
	}
	var stale, staleTasks []string
	for key := range j.parts {
		switch {
		case current[key]:
		case strings.HasPrefix(key, j.id+partSeparator+"o"):
			stale = append(stale, key)
		default:
			staleTasks = append(staleTasks, key)
		}
	}
	together := len(p.main)
	for _, x := range p.occurrences {
		together += len(x.value)
	}
	if b.entries()+1+len(p.occurrences)+len(stale) > batchPuts || size > 0 && size+together > batchBytes {
		return 0, false
	}
	b.states[j] = j.state
	b.Puts = append(b.Puts, s.put(RunTable, j.id, p.main))
	added = len(p.main)
	for _, x := range p.occurrences {
		added += s.putPart(b, j, x)
	}
	for _, key := range stale {
		s.deletePart(b, j, key)
	}
	for _, x := range p.tasks {
		if j.parts[x.key] == checksum(x.value) {
			continue
		}
		if b.entries() >= batchPuts || size+added > batchBytes {
			return added, false
		}
		added += s.putPart(b, j, x)
	}
	for _, key := range staleTasks {
		if b.entries() >= batchPuts {
			return added, false
		}
		s.deletePart(b, j, key)
	}
	return added, true
}

// putPart adds a record of split progress to the batch unless the store has it, and returns its size in bytes.
func (s *Service) putPart(b *Batch, j *job, x part) int {
	sum := checksum(x.value)
	if j.parts[x.key] == sum {
		return 0
	}
	if j.parts == nil {
		j.parts = map[string]uint64{}
	}
	j.parts[x.key] = sum
	b.parts[j] = append(b.parts[j], x.key)
	b.Puts = append(b.Puts, s.put(RunTable, x.key, x.value))
	return len(x.value)
}

func (s *Service) deletePart(b *Batch, j *job, key string) {
	delete(j.parts, key)
	b.parts[j] = append(b.parts[j], key)
	b.Deletes = append(b.Deletes, s.key(RunTable, key))
}

// partsNotStored makes the next batch write or delete the records of split progress again that a batch has not changed.
func (j *job) partsNotStored(keys []string) {
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
	tasks := map[int][]taskRecord{}
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
		}
	}
	slices.SortFunc(r.Runs, func(a, b occRecord) int { return cmp.Compare(a.Number, b.Number) })
	for i := range r.Runs {
		r.Runs[i].Tasks = append(r.Runs[i].Tasks, tasks[r.Runs[i].Number]...)
	}
	return nil
}
