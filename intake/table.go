package intake

// pools are the memory budgets: one for callers and one for all other groups, so that a flood of callers does not stop
// the calls between daemons.
const pools = 2

// link is an element of a ring of clients. The zero value is in no ring.
type link struct {
	prev, next *link
	client     *Client
}

// ring is a list of clients, the oldest first. It must be set up with init.
type ring struct{ root link }

func (r *ring) init() { r.root.prev, r.root.next = &r.root, &r.root }

func (r *ring) push(l *link) {
	last := r.root.prev
	l.prev, l.next = last, &r.root
	last.next, r.root.prev = l, l
}

func (r *ring) oldest() *Client { return r.root.next.client }

func (l *link) linked() bool { return l.next != nil }

func (l *link) remove() {
	if l.linked() {
		l.prev.next, l.next.prev = l.next, l.prev
		l.prev, l.next = nil, nil
	}
}

// Client is a connection in a Table.
type Client struct {
	conn     *Conn // for Gate
	group    Group
	open     bool
	evicted  bool   // its request was evicted: others need its memory
	size     int    // of its request; small ones may use the reserve
	held     int64  // bytes
	asked    int64  // bytes that it waits for
	since    uint64 // order in which requests began to hold memory
	waiting  link
	arriving link
	queued   link
	answer   chan bool // receives whether the client may hold what it asked for
}

// Sizes of requests, as indices of a pool.
const (
	large = iota
	small
	sizes
)

// pool is a memory budget. Its arrays are by the size of requests.
type pool struct {
	limit    int64
	used     [sizes]int64
	leaving  [sizes]int64 // part of used by evicted requests that still hold their memory
	asked    [sizes]int64 // by the queued requests
	arriving [sizes]ring  // requests that have not arrived whole and hold memory, by begin
	queued   [sizes]ring  // those of them that wait for memory, in order
}

// fits returns whether a request may hold more bytes now.
func (p *pool) fits(size int, bytes int64) bool {
	return p.used[large]+p.used[small]+bytes <= p.limit && (size == small || p.used[large]+bytes <= p.largeLimit())
}

func (p *pool) largeLimit() int64 { return p.limit - p.limit/smallShare }

// claimed returns what requests of a size will hold once the evicted ones have released their memory and the queued ones are served.
func (p *pool) claimed(size int) int64 { return p.used[size] - p.leaving[size] + p.asked[size] }

// victim returns nil if there will be room for the queued requests, and otherwise the request to evict for one of a
// size: the one that began to hold memory first, among the large ones if the share of large ones is used up.
func (p *pool) victim(size int) *Client {
	oldest, other := p.arriving[large].oldest(), p.arriving[small].oldest()
	switch {
	case size == large && p.claimed(large) > p.largeLimit():
		return oldest
	case p.claimed(large)+p.claimed(small) <= p.limit:
		return nil
	case oldest == nil || other != nil && other.since < oldest.since:
		return other
	}
	return oldest
}

// Table holds the connections of a daemon and the memory of their requests, and decides which ones are evicted or closed. It has no
// clock: what has waited longest is what began to wait first. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	total   int
	open    [groups]int
	waiting [groups]ring // connections without a complete request, by begin of the wait
	pools   [pools]pool
	begun   uint64
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table {
	t := &Table{}
	for g := range t.waiting {
		t.waiting[g].init()
	}
	for i := range t.pools {
		for size := range sizes {
			t.pools[i].arriving[size].init()
			t.pools[i].queued[size].init()
		}
	}
	t.SetLimits(l)
	return t
}

// SetLimits changes the limits. What is over them stays until it ends or is evicted.
func (t *Table) SetLimits(l Limits) {
	t.limits = l
	t.pools[0].limit, t.pools[1].limit = l.Memory[Callers], l.Memory[Peers]
}

func (t *Table) pool(c *Client) *pool { return &t.pools[min(int(c.group), pools-1)] }

// Open adds a connection of a group. victim, if not nil, must be closed for it: the connection that has waited longest
// without a complete request, of the same group if that is at its own bound, otherwise of the group with most
// connections. ok is false if there is no room and no victim.
func (t *Table) Open(c *Client, g Group) (victim *Client, ok bool) {
	full, from := t.total >= t.limits.Conns, t.largest()
	if t.open[g] >= t.limits.Caps[g] {
		full, from = true, g
	}
	if full {
		if victim = t.waiting[from].oldest(); victim == nil {
			return nil, false
		}
		t.shut(victim)
	}
	c.group, c.open = g, true
	c.waiting.client, c.arriving.client, c.queued.client = c, c, c
	t.total++
	t.open[g]++
	t.waiting[g].push(&c.waiting)
	return victim, true
}

// largest returns the group with the most connections.
func (t *Table) largest() Group {
	best := Callers
	for g := range groups {
		if t.open[g] > t.open[best] {
			best = g
		}
	}
	return best
}

// shut notes that a connection no longer has a descriptor. Its memory is released by Close.
func (t *Table) shut(c *Client) {
	if c.open {
		c.open = false
		c.waiting.remove()
		t.total--
		t.open[c.group]--
	}
}

// Close removes a connection.
func (t *Table) Close(c *Client) {
	t.shut(c)
	t.Release(c, 0)
}

// Wait notes that a connection has no request, and waits for the next one. It reports false if the connection must be
// closed instead.
func (t *Table) Wait(c *Client) bool {
	t.Release(c, 0)
	if c.evicted || !c.open {
		return false
	}
	c.size = large
	c.waiting.remove()
	t.waiting[c.group].push(&c.waiting)
	return true
}

// Begin notes the declared size of the body of a request before it is read; a negative size is not known. A request
// whose head holds memory counts as large.
func (t *Table) Begin(c *Client, size int64) {
	if c.held == 0 && size >= 0 && size <= smallBody {
		c.size = small
	}
}

// Hold makes a request that has not arrived whole hold that many bytes in all. If done is false, the request must wait
// for c.answer, which is answered when memory is released. The requests in victims are evicted and must release their memory.
func (t *Table) Hold(c *Client, bytes int64) (victims []*Client, ok, done bool) {
	if c.evicted || !c.open {
		return nil, false, true
	}
	p := t.pool(c)
	if !c.arriving.linked() {
		t.begun++
		c.since = t.begun
		p.arriving[c.size].push(&c.arriving)
	}
	more := bytes - c.held
	if more <= 0 || p.queued[c.size].oldest() == nil && p.fits(c.size, more) {
		t.add(c, more)
		return nil, true, true
	}
	c.asked = more
	p.asked[c.size] += more
	p.queued[c.size].push(&c.queued)
	for victim := p.victim(c.size); victim != nil; victim = p.victim(c.size) {
		if victim == c {
			t.GiveUp(c)
			return victims, false, true
		}
		t.evict(victim)
		victims = append(victims, victim)
	}
	if c.answer == nil {
		c.answer = make(chan bool, 1)
	}
	return victims, false, false
}

// evict marks a request as evicted. Its memory counts until it is released.
func (t *Table) evict(c *Client) {
	c.evicted = true
	c.arriving.remove()
	t.pool(c).leaving[c.size] += c.held
	if t.unqueue(c) {
		c.answer <- false
	}
}

// unqueue ends the wait of a request for memory. It reports false if the request does not wait.
func (t *Table) unqueue(c *Client) bool {
	if !c.queued.linked() {
		return false
	}
	c.queued.remove()
	t.pool(c).asked[c.size] -= c.asked
	return true
}

// GiveUp ends the wait of a request for memory, which is then evicted. It reports false if the request has been answered.
func (t *Table) GiveUp(c *Client) bool {
	if !t.unqueue(c) {
		return false
	}
	t.evict(c)
	t.grant(t.pool(c))
	return true
}

// Complete notes that a request has arrived whole: it can no longer be evicted. It reports false if it has been before.
func (t *Table) Complete(c *Client) bool {
	if c.evicted || !c.open {
		return false
	}
	c.arriving.remove()
	c.waiting.remove()
	return true
}

// Release frees the memory of a request down to that many bytes, and answers the requests that wait for it.
func (t *Table) Release(c *Client, bytes int64) {
	p := t.pool(c)
	c.arriving.remove()
	t.unqueue(c)
	if c.held > bytes {
		if c.evicted {
			p.leaving[c.size] -= c.held - bytes
		}
		t.add(c, bytes-c.held)
	}
	t.grant(p)
}

// grant answers queued requests, small ones first, as long as there is room.
func (t *Table) grant(p *pool) {
	for _, size := range [...]int{small, large} {
		for c := p.queued[size].oldest(); c != nil && p.fits(size, c.asked); c = p.queued[size].oldest() {
			t.unqueue(c)
			t.add(c, c.asked)
			c.answer <- true
		}
	}
}

func (t *Table) add(c *Client, bytes int64) {
	c.held += bytes
	t.pool(c).used[c.size] += bytes
}
