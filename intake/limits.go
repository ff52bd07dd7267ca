// Package intake bounds what clients that the daemon does not control can make it keep: memory for heads and bodies of
// requests, and connections.
//
// It is built for floods of many connections at once: bodies of legal size that stop just short of their end, chunked
// bodies without an end, heads over the limit or without an end, and connections that send nothing. Table decides, without
// I/O and without a clock, which request is evicted and which connection is closed when a limit is reached. Gate applies the decisions to the
// listeners of a daemon.
package intake

import (
	"time"

	"cuminstair.org/cuminstair"
)

// Group is a listener of the daemon.
type Group uint8

// Groups.
const (
	Callers Group = iota
	Peers
	Readiness
	Metrics
	groups
)

func (g Group) String() string { return [groups]string{"callers", "peers", "readiness", "metrics"}[g] }

// Defaults of what the configuration or the settings don't tell.
const (
	defaultHead     = 64 << 10 // bytes
	defaultBody     = 256 << 10
	defaultHeadWait = 5 * time.Second
	defaultIdleWait = 60 * time.Second
	defaultMemory   = 256 << 20
	// BodyWait is the time limit for the arrival of a body. It lets a body of 256 KB arrive at 5 KB/s.
	BodyWait = 60 * time.Second
	// peerIdleWait is above the 30 s after which a daemon closes its idle connections to another one. If that one closed them
	// first, a call could meet a closed connection, and its outcome would be unknown.
	peerIdleWait = 60 * time.Second
	// PeerBody is the limit of the body of a call between daemons, in bytes. A forwarded job is encoded again and may grow.
	PeerBody = 1 << 20
)

// Shares of the limits of the process.
const (
	reservedFiles = 200 // descriptors that the platform reserves for files
	ownConnsShare = 8   // one in ownConnsShare of the other descriptors is for connections that the daemon opens
	// connMemoryPercent is the part of the memory, in percent, for connections without a request, at connBytes each: 3,300 of them
	// took 19.5 KB each, with the goroutine and the buffers of net/http.
	connMemoryPercent = 40
	connBytes         = 20 << 10
	peerConnsShare    = 4  // of the connections, at most one in peerConnsShare are of other daemons
	otherConnsShare   = 16 // the same for readiness and for metrics
	callerMemoryShare = 8  // one in callerMemoryShare of the memory is for requests of callers
	peerMemoryShare   = 16 // one in peerMemoryShare of the memory is for requests to the other listeners
	// minRequests is how many of the largest requests find room at once, however small the memory is.
	minRequests = 3
	// smallShare: one in smallShare of the memory for requests is reserved for those with a small body.
	smallShare = 4
	// smallBody is the size up to which a body is small, in bytes. The jobs of ordinary callers are a tenth of it.
	smallBody = 16 << 10
)

// Memory that a request takes, as a multiple of what has been received.
const (
	headFactor  = 3       // bytes of a head, which net/http collects in a growing buffer and copies into strings
	lineBytes   = 160     // for each line of a head: entry of the header map
	freeHead    = 8 << 10 // a head below it is not counted, so that an ordinary request does not take the lock for it
	decodeBytes = 4       // bytes of a whole large body, while it is decoded and forwarded
)

// Limits are the bounds of a daemon. The zero value is not valid, use Derive.
type Limits struct {
	Head     int   // bytes of the head of a request
	Body     int64 // bytes of the body of a caller's request
	HeadWait time.Duration
	IdleWait time.Duration
	Conns    int           // open connections of all groups
	Caps     [groups]int   // open connections of each group
	Memory   [groups]int64 // bytes for the requests of each group; readiness and metrics share the memory of peers
}

// Derive returns the limits for the memory in bytes and the descriptors of the process, and the configuration. Zero and
// nil mean that a figure is not known.
func Derive(memory int64, descriptors int, c *cuminstair.JobConfig) Limits {
	l := Limits{Head: defaultHead, Body: defaultBody, HeadWait: defaultHeadWait, IdleWait: defaultIdleWait}
	if c != nil {
		l.Head, l.Body = positive(c.MaxHead, l.Head), BodyLimit(c)
		l.HeadWait, l.IdleWait = positive(c.HeadWait, l.HeadWait), positive(c.IdleWait, l.IdleWait)
	}
	memory = positive(memory, defaultMemory)
	l.Conns = int(memory / 100 * connMemoryPercent / connBytes)
	if descriptors > 0 {
		usable := max(descriptors-reservedFiles, descriptors/2)
		l.Conns = min(l.Conns, usable-usable/ownConnsShare)
	}
	l.Caps = [groups]int{
		Callers: l.Conns, Peers: max(1, l.Conns/peerConnsShare),
		Readiness: max(1, l.Conns/otherConnsShare), Metrics: max(1, l.Conns/otherConnsShare),
	}
	l.Memory[Callers] = max(memory/callerMemoryShare, minRequests*l.largest(l.Body))
	l.Memory[Peers] = max(memory/peerMemoryShare, minRequests*l.largest(PeerBody))
	return l
}

// BodyLimit returns the limit of the body of a caller's request.
func BodyLimit(c *cuminstair.JobConfig) int64 { return positive(c.MaxBody, defaultBody) }

// idleWait returns how long a connection of a group may wait for a request.
func (l *Limits) idleWait(g Group) time.Duration {
	if g == Peers {
		return max(l.IdleWait, peerIdleWait)
	}
	return l.IdleWait
}

// largest returns the memory that the largest request takes at most, with a head of very short lines.
func (l *Limits) largest(body int64) int64 {
	return decodeBytes*body + headBytes(l.Head, l.Head/4)
}

// headBytes returns the memory that a head takes.
func headBytes(size, lines int) int64 { return int64(headFactor*size + lineBytes*lines) }

func positive[T ~int | ~int64](n, otherwise T) T {
	if n > 0 {
		return n
	}
	return otherwise
}
