// Package member implements the gossip membership of entry daemons. All daemons have the same role. The package decides
// what to send to which daemon; package peer transports it. Controllers don't take liveness from this package but from
// the platform's list and the registrations.
package member

import (
	"encoding/binary"
	"hash/fnv"

	"cuminstair.org/cuminstair"
)

// State is the state that a daemon reports about itself.
type State uint8

// States of a daemon.
const (
	Alive   State = iota
	Leaving       // stopping: completes its requests and accepts no new ones
	Left          // stopped; its successor has its tickets
)

// Health is this daemon's judgement of another one.
type Health uint8

// Health of a daemon, by the age of its latest heartbeat.
const (
	Healthy Health = iota
	Suspect        // routing prefers other daemons
	Gone           // routing does not use the daemon
)

// Record is what a daemon reports about itself. Only the daemon itself changes it.
type Record struct {
	Name   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint"`
	Addr   string `cbor:"3,keyasint"` // IP address and port
	// Start identifies this run of the daemon; runs under the same name have different values. Tickets carry it.
	Start uint64 `cbor:"4,keyasint"`
	// Incarnation is at least Start. Of two records with the same name, the one with the higher incarnation wins. A
	// daemon raises its incarnation when it receives a claim that it is gone.
	Incarnation uint64 `cbor:"5,keyasint"`
	Version     uint64 `cbor:"6,keyasint"` // raised with each change of this record
	State       State  `cbor:"7,keyasint,omitempty"`
	// Successor and SuccessorStart name the run of the daemon that took over the tickets; set in state Left.
	Successor      string `cbor:"8,keyasint,omitempty"`
	SuccessorStart uint64 `cbor:"9,keyasint,omitempty"`
}

// Note is what a daemon reports to its data centre about upstreams. It lists only hosts that the daemon observed
// itself.
type Note struct {
	ID      uint32   `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"` // raised with each change
	Leaving []string `cbor:"3,keyasint,omitempty"`
	Suspect []string `cbor:"4,keyasint,omitempty"`
	// Planned is the number of hosts at the end of Leaving that leave by the platform's list or an order. A daemon that
	// does not know this field takes them for hosts that have announced that they leave.
	Planned uint16 `cbor:"5,keyasint,omitempty"`
}

// PlannedHosts returns the hosts of Leaving that leave by the platform's list or an order.
func (n *Note) PlannedHosts() []string { return n.Leaving[max(0, len(n.Leaving)-int(n.Planned)):] }

// loads is how many requests a daemon has in flight at the hosts of its data centre.
type loads struct {
	ID    uint32            `cbor:"1,keyasint"`
	Seq   uint64            `cbor:"2,keyasint"`
	Loads []cuminstair.Load `cbor:"3,keyasint"`
}

// Member is a daemon as this daemon sees it.
type Member struct {
	Record
	Health Health
	// Generation is the configuration generation in force there, as last reported; 0 if unknown. A generation that is
	// more than 254 behind the highest known one is not reported.
	Generation uint64
	Leaving    []string
	Planned    []string // the last hosts of Leaving, which leave by the platform's list or an order
	Suspect    []string
	Loads      []cuminstair.Load
}

// idOf returns the short identity of one run of a daemon. With 280 daemons two of them collide with a probability of
// 1 in 100,000; the later one then stays invisible until it restarts.
func idOf(name string, start uint64) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], start)
	_, _ = h.Write(b[:])
	sum := h.Sum64()
	return uint32(sum ^ sum>>32)
}
