// Package assignment keeps to which services the jobs of a queue may have gone. A new version of the configuration may send a
// queue to another service, while the jobs that were accepted before stay where they are.
package assignment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"cuminstair.org/cuminstair"
)

// Table is the table of the records, one for each queue. All are in the part that has no name.
const Table = "assignment"

// keyBytes is the length of the hash that names a record, since the key of a record is limited to 200 bytes.
const keyBytes = 16

// Key names a queue by what its callers address. Its name and its service may change.
type Key struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// KeyOf returns the key of a queue.
func KeyOf(q *cuminstair.WorkQueue) Key { return Key{q.Host, q.Prefix} }

// Record returns the key of the record of the queue.
func (k Key) Record() cuminstair.RecordKey {
	sum := sha256.Sum256([]byte(k.Host + " " + k.Prefix))
	return cuminstair.RecordKey{Table: Table, Key: hex.EncodeToString(sum[:keyBytes])}
}

// Queue is the value of a record.
type Queue struct {
	Key
	Service string   `json:"service"`          // accepts the jobs of the queue
	Since   int64    `json:"since"`            // version of the configuration since which it does
	Former  []string `json:"former,omitempty"` // other services that may know jobs of the queue; sorted
}

// Decode decodes a record. Error: ErrMalformed.
func Decode(data []byte) (Queue, error) {
	var q Queue
	if err := json.Unmarshal(data, &q); err != nil {
		return q, fmt.Errorf("decode assignment: %w: %w", cuminstair.ErrMalformed, err)
	}
	if q.Service == "" || q.Since <= 0 {
		return q, fmt.Errorf("assignment of %s%s without a service or a version: %w", q.Host, q.Prefix, cuminstair.ErrMalformed)
	}
	return q, nil
}

// Encode encodes a record.
func (q Queue) Encode() []byte {
	// Encoding this type never fails.
	data, _ := json.Marshal(q)
	return data
}

// New returns the assignment of a queue that has none.
func New(key Key, service string, version int64) Queue {
	return Queue{Key: key, Service: service, Since: version}
}

// MovedTo returns the assignment of a queue that a version of the configuration sends to a service, and false if the assignment
// is of a later version.
func (q Queue) MovedTo(service string, version int64) (Queue, bool) {
	if version < q.Since {
		return q, q.Service == service
	}
	if service == q.Service {
		return q, true
	}
	former := slices.DeleteFunc(slices.Clone(q.Former), func(s string) bool { return s == service })
	next := New(q.Key, service, version)
	next.Former = former
	return next.WithFormer(q.Service), true
}

// WithFormer returns the assignment with one more former service.
func (q Queue) WithFormer(service string) Queue {
	if at, found := slices.BinarySearch(q.Former, service); !found && service != q.Service {
		q.Former = slices.Insert(slices.Clone(q.Former), at, service)
	}
	return q
}

// WithoutFormer returns the assignment without a former service.
func (q Queue) WithoutFormer(service string) Queue {
	q.Former = slices.DeleteFunc(slices.Clone(q.Former), func(s string) bool { return s == service })
	return q
}

// Others returns the services, except one, that may know jobs of the queue.
func (q Queue) Others(service string) []string {
	all := append([]string{q.Service}, q.Former...)
	return slices.DeleteFunc(all, func(s string) bool { return s == service || s == "" })
}

// Lists reports whether a service may know jobs of the queue.
func (q Queue) Lists(service string) bool {
	return q.Service == service || slices.Contains(q.Former, service)
}
