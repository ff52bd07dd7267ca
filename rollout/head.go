// Package rollout decides about configuration generations: how one is accepted, which one a daemon installs and from
// which source, in which daemons it is in force, and whether a daemon's view of the fleet is too old to be used.
// Nothing in it reads a clock or does I/O; package rollout/runner drives it.
package rollout

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair/fleet"
)

// Keys of the table rows.
const (
	HeadKey      = "head"
	ChangePrefix = "change/"
)

// ErrMessage is returned for bytes that can't be decoded as the expected message.
const ErrMessage = errors.ConstError("unreadable message")

// ChangeKey returns the key of the table row with the change to a generation. Its digits are padded, so that the key of
// one generation is no prefix of another's.
func ChangeKey(gen uint64) string { return fmt.Sprintf("%s%012d", ChangePrefix, gen) }

// Head identifies a configuration generation.
type Head struct {
	_    struct{}   `cbor:",toarray"`
	Gen  uint64     // counts accepted configurations; 0 means none
	Root fleet.Hash // hash of the manifest of the generation
	// Version is the table version of the commit that accepted the generation; 0 if it is not known. The head row does
	// not store it, since it is the version of that row.
	Version uint64
}

// Change is the difference between one generation and a later one. In a table row, From is Head.Gen-1.
type Change struct {
	_     struct{} `cbor:",toarray"`
	From  uint64
	Head  Head
	Delta fleet.Delta
	Words []string // description of the difference for operators, at most maxWords lines
	By    string   // the operator who applied the change
}

// Source is where a daemon gets heads and updates from: the platform if Peer is empty.
type Source struct{ Peer string }

// String returns the name for log lines.
func (s Source) String() string {
	if s.Peer == "" {
		return "the platform"
	}
	return "peer " + s.Peer
}

// Announcement tells a peer which generation the sender has in force.
type Announcement struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Head        Head
	// Asked is the time on the receiver's clock at which the receiver sent the announcement that this one answers; 0 if
	// the announcement is not an answer. It proves that the answer is not from before a pause.
	Asked int64
	// Sent is the time on the sender's clock, to be returned as Asked; 0 if the sender needs no answer.
	Sent int64
}

// Request asks for an update to a generation.
type Request struct {
	_       struct{} `cbor:",toarray"`
	After   uint64   // the generation that the requester has in force
	Version uint64   // table version of generation After
	To      Head     // the requested generation; a later one is accepted too
	Full    bool     // the manifest is requested, since deltas did not lead to the root hash
	// Sections are requested by their hash; if there are any, nothing else is requested.
	Sections []fleet.Entry
}

// Update answers a Request. It holds a Delta from a generation that is at most Request.After, or a Manifest, or neither
// if sections were requested.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Head     Head
	From     uint64
	Delta    *fleet.Delta
	Manifest []byte
	Sections []fleet.Section
	Patches  []Patch // sections as differences from their previous versions
}

var decMode = mustMode()

func mustMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic("CBOR decoding options: " + err.Error())
	}
	return m
}

// Encode returns the bytes of a Head, Change, Announcement, Request or Update.
func Encode[T Head | Change | Announcement | Request | Update](v T) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("encode a message: " + err.Error()) // All these types can be encoded.
	}
	return data
}

// Decode reads what Encode wrote. Error: ErrMessage.
func Decode[T Head | Change | Announcement | Request | Update](data []byte) (T, error) {
	var v T
	if err := decMode.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return v, nil
}

// Times of a node.
const (
	// TickEvery is the time between two calls of Node.Tick.
	TickEvery = 100 * time.Millisecond
	// announceInterval is the time between two announcements to a random peer. Each daemon sends and receives one in
	// that time on average, about 200 bytes each.
	announceInterval = 500 * time.Millisecond
	// fetchTimeout is the time after which another source is tried; a later answer is still used. It is above the
	// longest round trip between regions, about 200 ms, and six timeouts fit into the 3 s in which a generation has to
	// be in force. A starting daemon fetches the whole fleet, about 1 MB for 28,000 hosts, and has startTimeout. Each
	// section requested from the platform adds sectionTimeout, since its reads are limited.
	fetchTimeout   = 400 * time.Millisecond
	startTimeout   = 600 * time.Millisecond
	sectionTimeout = 100 * time.Millisecond
	// fetchPause is the minimum time between the starts of two fetches if the first one failed.
	fetchPause = 200 * time.Millisecond
	// pollPerDaemon, times the number of daemons in the data centre, is the interval at which a daemon reads the head,
	// bounded by minPollInterval and maxPollInterval. 30 daemons in each of 7 data centres read it 105 times a second;
	// all clients of the platform share 2,000 reads a second.
	pollPerDaemon   = 250 * time.Millisecond
	minPollInterval = time.Second
	maxPollInterval = 2 * time.Second
	// startWait is how long a daemon that starts without the platform collects the heads of peers, so that it does not
	// start with an old generation. The longest round trip between regions is about 200 ms.
	startWait = 500 * time.Millisecond
	// ViewAge is the length of a pause of the daemon above which its view must be confirmed before it is used for new
	// work (section 5.9 of docs/design.md).
	ViewAge = 20 * time.Second
)

const (
	// fanout is the number of random peers that a daemon tells about a generation that it installed.
	fanout = 3
	// startPeers is the number of peers that a starting daemon asks at once.
	startPeers = 8
	// maxChanges is the number of changes kept for peers that are behind. At 19,000 changes a day, a partition of an
	// hour is 792 changes.
	maxChanges = 1024
	// maxReceived bounds the received sections of generations that are still incomplete. A fleet of 28,000 hosts has
	// 634 sections.
	maxReceived = 1 << 14
	// minReplaced is the minimum number of replaced sections that are kept; a section is about 1.5 KB.
	minReplaced = 64
	// maxRequestSections bounds the sections that one request names.
	maxRequestSections = 64
	// maxWords bounds the lines of a change's description.
	maxWords = 50
)
