// Package rollout decides about configuration generations: how one is accepted, which one a daemon installs, where it
// gets it from, which daemons have it in force, and whether a daemon's view is too old to be used. Nothing in it reads
// a clock or does I/O; package rollout/runner drives it.
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

// ErrMessage means that bytes are not the message that was expected.
const ErrMessage = errors.ConstError("unreadable message")

// ChangeKey returns the key of the row of a generation's change.
// Its digits are padded, so that the key of one generation is no prefix of another's.
func ChangeKey(gen uint64) string { return fmt.Sprintf("%s%012d", ChangePrefix, gen) }

// Head names a generation.
type Head struct {
	_    struct{}   `cbor:",toarray"`
	Gen  uint64     // counts accepted configurations; 0 means none
	Root fleet.Hash // of its manifest
	// Version is the table version of the commit that accepted it; 0 if it is not known. It is not stored in the row,
	// since it is the version of the row.
	Version uint64
}

// Change leads from one generation to a later one. In a table row From is Gen-1.
type Change struct {
	_     struct{} `cbor:",toarray"`
	From  uint64
	Head  Head
	Delta fleet.Delta
	Words []string // the difference in words, at most maxWords lines
	By    string   // the operator who sent it
}

// Source is where a daemon learns something from: the platform if Peer is empty.
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
	// Asked is the time on the receiver's clock that it sent the announcement that this one answers; 0 if it answers
	// none. It proves that the answer is not from before a pause.
	Asked int64
	// Sent is the time on the sender's clock, to be returned as Asked; 0 if the sender needs no answer.
	Sent int64
}

// Request asks for what leads to a generation.
type Request struct {
	_       struct{} `cbor:",toarray"`
	After   uint64   // the generation that the asker has in force
	Version uint64   // its table version
	To      Head     // the generation that it wants, or a later one
	Full    bool     // it wants the manifest, since deltas did not lead to the root hash
	// Sections are wanted by their hash; if there are any, nothing else is.
	Sections []fleet.Entry
}

// Update answers a Request. It holds a Delta from a generation that is at most Request.After, or a Manifest, or neither
// if sections were asked for.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Head     Head
	From     uint64
	Delta    *fleet.Delta
	Manifest []byte
	Sections []fleet.Section
	Patches  []Patch // sections as their difference from the version before
}

var messages = mustMode()

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
	if err := messages.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return v, nil
}

// Times of a node.
const (
	// TickEvery is the time between two calls of Node.Tick.
	TickEvery = 100 * time.Millisecond
	// announceEvery is the time between two announcements to a random peer. Each daemon sends and gets one in that time
	// on average, about 200 bytes each.
	announceEvery = 500 * time.Millisecond
	// fetchTimeout is the time until another source is asked; an answer that comes later is used all the same. It is
	// above the longest round trip between regions, about 200 ms, and six fit into the 3 s. A starting daemon fetches the
	// whole fleet, about 1 MB for 28,000 hosts, and has startTimeout. Each section that the platform is asked for adds
	// sectionTimeout, since its reads are limited.
	fetchTimeout   = 400 * time.Millisecond
	startTimeout   = 600 * time.Millisecond
	sectionTimeout = 100 * time.Millisecond
	// fetchPause is the least time between the starts of two fetches when the first one failed.
	fetchPause = 200 * time.Millisecond
	// pollShare is the time between two reads of the head for each daemon of the data centre, and pollLeast and pollMost
	// bound it for one daemon. 30 daemons in each of 7 data centres read it 105 times a second, of 2,000 reads.
	pollShare = 250 * time.Millisecond
	pollLeast = time.Second
	pollMost  = 2 * time.Second
	// startWait is how long a daemon that starts without the platform gathers the heads of peers, so that it does not
	// begin with an old one. The longest round trip between regions is about 200 ms.
	startWait = 500 * time.Millisecond
	// ViewAge is the age from which a view is not used for new work until it was confirmed (design page, section 5.9).
	ViewAge = 20 * time.Second
)

const (
	// fanout is the number of random peers that a daemon tells about a generation that it installed.
	fanout = 3
	// startPeers is the number of peers that a starting daemon asks at once.
	startPeers = 8
	// keptChanges is the number of changes kept for peers that are behind. An hour of a partition at 19,000 changes a
	// day is 792 changes.
	keptChanges = 1024
	// maxStored bounds the sections that wait for the rest of their generation. A fleet of 28,000 hosts has 634.
	maxStored = 1 << 14
	// keptSections is the least number of replaced sections that are kept; one is about 1.5 KB.
	keptSections = 64
	// askedSections bounds the sections that one request names.
	askedSections = 64
	// maxWords bounds the lines of a change's description.
	maxWords = 50
)
