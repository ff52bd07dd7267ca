package tables

import (
	"context"
	"fmt"
	"net/url"
	"strconv"

	"cuminstair.org/cuminstair"
)

// scanKey identifies the readers that can share a scan. Full scans, which start at version 0, return no tombstones and
// are shared only by readers that request a full scan.
type scanKey struct {
	prefix string
	full   bool
}

// scanQueue holds at most one running scan and one waiting scan, which new readers join. A reader never joins the running
// scan, which may have read the table before the reader's own writes.
type scanQueue struct {
	running bool
	next    *scan // the waiting scan; may be nil
}

// scan is shared by all its readers; rows, version and err are set before done is closed.
type scan struct {
	since   uint64 // lowest version that a reader requested
	done    chan struct{}
	rows    []cuminstair.Row
	version uint64
	err     error
}

// Rows implements cuminstair.Table. Readers of a prefix that arrive while a scan of it runs share the next scan.
func (c *Client) Rows(ctx context.Context, prefix string, since uint64) ([]cuminstair.Row, uint64, error) {
	s := c.join(scanKey{prefix, since == 0}, since)
	select {
	case <-s.done:
	case <-ctx.Done():
		return nil, 0, fmt.Errorf("read rows below %s: %w: %w", prefix, cuminstair.ErrUnavailable, ctx.Err())
	}
	if s.err != nil {
		return nil, 0, fmt.Errorf("read rows below %s: %w", prefix, s.err)
	}
	var rows []cuminstair.Row
	for _, r := range s.rows {
		if r.Version > since {
			rows = append(rows, r)
		}
	}
	return rows, s.version, nil
}

// join adds a reader to the next scan and starts it if none runs.
func (c *Client) join(key scanKey, since uint64) *scan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setup()
	q := c.scans[key]
	if q == nil {
		q = &scanQueue{}
		c.scans[key] = q
	}
	if q.next == nil {
		q.next = &scan{since: since, done: make(chan struct{})}
	}
	s := q.next
	s.since = min(s.since, since)
	if !q.running {
		q.running = true
		go c.runScans(key, q)
	}
	return s
}

// runScans runs the scans of a queue until no reader waits. A scan is limited by the timeouts of its attempts and not by
// the context of a reader, since several readers share the scan.
func (c *Client) runScans(key scanKey, q *scanQueue) {
	for {
		c.mu.Lock()
		s := q.next
		q.next = nil
		if s == nil {
			delete(c.scans, key)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		s.rows, s.version, s.err = c.scan(context.Background(), key, s.since)
		close(s.done)
	}
}

// scan reads all pages. A row that changes during the scan appears again in a later page; its latest version is kept.
func (c *Client) scan(ctx context.Context, key scanKey, since uint64) ([]cuminstair.Row, uint64, error) {
	var rows []cuminstair.Row
	for {
		var out struct {
			Rows    []cuminstair.Row `json:"rows"`
			Version uint64           `json:"version"`
			More    bool             `json:"more"`
		}
		path := "/table/rows?prefix=" + url.QueryEscape(key.prefix) + "&since=" + strconv.FormatUint(since, 10)
		if err := c.get(ctx, path, &out); err != nil {
			return nil, 0, err
		}
		if out.Version < since {
			return nil, 0, fmt.Errorf("the table went back from version %d to %d: %w", since, out.Version, cuminstair.ErrUnavailable)
		}
		rows = append(rows, out.Rows...)
		if !out.More {
			return latest(rows, key.full), out.Version, nil
		}
		since = out.Version
	}
}

// latest keeps only the last version of each row. For a full scan it drops tombstones.
func latest(rows []cuminstair.Row, full bool) []cuminstair.Row {
	last := make(map[string]uint64, len(rows))
	for _, r := range rows {
		last[r.Key] = max(last[r.Key], r.Version)
	}
	out := rows[:0]
	for _, r := range rows {
		if last[r.Key] == r.Version && (!full || !r.Deleted) {
			out = append(out, r)
		}
	}
	return out
}
