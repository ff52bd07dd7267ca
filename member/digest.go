package member

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ErrDigest is returned for bytes that are not a valid digest.
const ErrDigest = errors.ConstError("malformed digest")

// MaxDigest is the largest encoded digest in bytes, so that it fits into one datagram.
const MaxDigest = 1200

// phase is the position of a digest in an exchange, which decides how it is answered.
type phase uint8

const (
	phasePush  phase = iota // answered with what the sender lacks
	phaseReply              // answered only if there is a request, record, note or claim to send; so is phaseAnswer
	phaseAnswer
	phaseFinal // never answered
)

// digest is the message that daemons exchange. Its lists hold recent changes that the receiver probably lacks, up to
// the size limit.
type digest struct {
	From    uint32   `cbor:"1,keyasint"`
	Phase   phase    `cbor:"2,keyasint,omitempty"`
	Top     uint64   `cbor:"3,keyasint,omitempty"` // highest configuration generation known to the sender
	Beats   []byte   `cbor:"4,keyasint,omitempty"` // packed beats
	Records []Record `cbor:"5,keyasint,omitempty"`
	Notes   []Note   `cbor:"6,keyasint,omitempty"`
	Loads   []loads  `cbor:"7,keyasint,omitempty"`
	Wants   []byte   `cbor:"8,keyasint,omitempty"`  // packed identities whose record and note are requested
	Claims  []byte   `cbor:"9,keyasint,omitempty"`  // packed claims that a daemon is gone
	Join    bool     `cbor:"10,keyasint,omitempty"` // the records of all daemons are requested
	Blocks  []byte   `cbor:"12,keyasint,omitempty"` // packed blocks of heartbeats
	Urgent  bool     `cbor:"11,keyasint,omitempty"` // forward changes at once
}

// beat is the latest known heartbeat of a daemon, with the low bytes of the versions of its record and note. The
// receiver compares them with the versions that it has, to request newer ones.
type beat struct {
	id     uint32
	count  uint16 // low 16 bits of the heartbeat
	behind uint8  // generations below digest.Top; 255: unknown
	record uint8  // low 8 bits of Record.Version
	note   uint8  // low 8 bits of Note.Version
}

// claim reports that a daemon with this incarnation (low 32 bits) is gone.
type claim struct {
	id          uint32
	incarnation uint32
}

const (
	beatSize  = 9
	claimSize = 8
	wantSize  = 4
)

func appendBeat(b []byte, x beat) []byte {
	b = binary.BigEndian.AppendUint32(b, x.id)
	b = binary.BigEndian.AppendUint16(b, x.count)
	return append(b, x.behind, x.record, x.note)
}

func eachBeat(b []byte, fn func(beat)) {
	for ; len(b) >= beatSize; b = b[beatSize:] {
		fn(beat{
			id: binary.BigEndian.Uint32(b), count: binary.BigEndian.Uint16(b[4:]),
			behind: b[6], record: b[7], note: b[8],
		})
	}
}

func appendClaim(b []byte, x claim) []byte {
	b = binary.BigEndian.AppendUint32(b, x.id)
	return binary.BigEndian.AppendUint32(b, x.incarnation)
}

func eachClaim(b []byte, fn func(claim)) {
	for ; len(b) >= claimSize; b = b[claimSize:] {
		fn(claim{id: binary.BigEndian.Uint32(b), incarnation: binary.BigEndian.Uint32(b[4:])})
	}
}

func eachWant(b []byte, fn func(id uint32)) {
	for ; len(b) >= wantSize; b = b[wantSize:] {
		fn(binary.BigEndian.Uint32(b))
	}
}

// decMode rejects lists that are longer than any digest of MaxDigest bytes needs.
var decMode = mustDecMode(cbor.DecOptions{MaxArrayElements: 256, MaxMapPairs: 32, MaxNestedLevels: 6})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func decode(data []byte) (*digest, error) {
	if len(data) > MaxDigest {
		return nil, fmt.Errorf("digest of %d bytes exceeds the limit: %w", len(data), ErrDigest)
	}
	d := &digest{}
	if err := decMode.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDigest, err)
	}
	if len(d.Beats)%beatSize != 0 || len(d.Claims)%claimSize != 0 || len(d.Wants)%wantSize != 0 {
		return nil, fmt.Errorf("truncated list: %w", ErrDigest)
	}
	if !eachBlock(d.Blocks, func(block) {}) {
		return nil, fmt.Errorf("truncated block: %w", ErrDigest)
	}
	for i := range d.Records {
		if r := &d.Records[i]; r.Name == "" || r.Incarnation < r.Start || r.State > Left {
			return nil, fmt.Errorf("invalid record %q: %w", r.Name, ErrDigest)
		}
	}
	return d, nil
}

// writer fills a digest up to a limit in bytes.
type writer struct {
	digest
	limit int
	size  int // upper bound of the encoded size so far
}

// digestOverhead bounds the bytes of a digest without its lists.
const digestOverhead = 48

func newWriter(from uint32, p phase, limit int) *writer {
	return &writer{digest: digest{From: from, Phase: p}, limit: min(limit, MaxDigest), size: digestOverhead}
}

func (w *writer) fits(n int) bool { return w.size+n <= w.limit }

func (w *writer) beat(x beat) {
	if !w.fits(beatSize) {
		return
	}
	w.size += beatSize
	w.Beats = appendBeat(w.Beats, x)
}

func (w *writer) block(x block) {
	n := blockHeader + len(x.counts)
	if len(x.counts) > countSize*maxBlock || !w.fits(n) {
		return
	}
	w.size += n
	w.Blocks = appendBlock(w.Blocks, x)
}

func (w *writer) claim(x claim) bool {
	if !w.fits(claimSize) {
		return false
	}
	w.size += claimSize
	w.Claims = appendClaim(w.Claims, x)
	return true
}

func (w *writer) want(id uint32) {
	if !w.fits(wantSize) {
		return
	}
	w.size += wantSize
	w.Wants = binary.BigEndian.AppendUint32(w.Wants, id)
}

func (w *writer) record(r *Record) bool {
	n := sizeOf(r)
	if !w.fits(n) {
		return false
	}
	w.size += n
	w.Records = append(w.Records, *r)
	return true
}

func (w *writer) note(x *Note) bool {
	n := sizeOf(x)
	if !w.fits(n) {
		return false
	}
	w.size += n
	w.Notes = append(w.Notes, *x)
	return true
}

func (w *writer) load(x *loads) bool {
	n := sizeOf(x)
	if !w.fits(n) {
		return false
	}
	w.size += n
	w.Loads = append(w.Loads, *x)
	return true
}

func (w *writer) encode() []byte { return mustEncode(&w.digest) }

func sizeOf(v any) int { return len(mustEncode(v)) }

// mustEncode encodes a value of a type of this package. Encoding these types can't fail.
func mustEncode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
