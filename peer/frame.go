package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// ErrFrame means that a frame is malformed or too large.
const ErrFrame = errors.ConstError("malformed frame")

const (
	// maxFrame bounds a frame: a body of 1 MiB plus headers.
	maxFrame = 1<<20 + 64<<10
	// maxHandover bounds a ticket hand-over, which is split over many frames. A ticket store holds at most 48 MiB.
	maxHandover = 64 << 20
	// chunkSize is the largest payload of a frame of a hand-over.
	chunkSize = 256 << 10
	// lengthSize is the size of the length prefix of a frame.
	lengthSize = 4
)

// op is the operation that a call requests.
type op uint8

const (
	opForward op = iota + 1
	opIdle
	opHandover
	opAsk
	opGossip
)

// request is the first frame of a call.
type request struct {
	Op      op                  `cbor:"1,keyasint"`
	Host    string              `cbor:"2,keyasint,omitempty"`
	Topic   string              `cbor:"3,keyasint,omitempty"`
	Message *cuminstair.Message `cbor:"4,keyasint,omitempty"`
	Body    []byte              `cbor:"5,keyasint,omitempty"`
	Size    int                 `cbor:"6,keyasint,omitempty"` // bytes that follow in further frames
	Pad     []byte              `cbor:"7,keyasint,omitempty"` // see padding
}

// padding makes the packet of the smallest request larger than a stateless reset, which has 42 bytes. A restarted
// daemon sends a reset only in response to packets larger than that; without a reset the caller would wait for its
// deadline.
var padding = make([]byte, 32)

// response is the only frame of the response to a call.
type response struct {
	OK      bool                `cbor:"1,keyasint"`
	Error   string              `cbor:"2,keyasint,omitempty"`
	Message *cuminstair.Message `cbor:"3,keyasint,omitempty"`
	Body    []byte              `cbor:"4,keyasint,omitempty"`
}

func encodeFrame(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes: %w", len(data), ErrFrame)
	}
	return frameOf(data), nil
}

// frameOf adds the length prefix.
func frameOf(data []byte) []byte {
	frame := make([]byte, lengthSize, lengthSize+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	return append(frame, data...)
}

func readFrame(r io.Reader) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, fmt.Errorf("read length of frame: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes: %w", n, ErrFrame)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return data, nil
}

func readValue(r io.Reader, v any) error {
	data, err := readFrame(r)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return nil
}

// readChunks reads size bytes that are split over several frames.
func readChunks(r io.Reader, size int) ([]byte, error) {
	if size < 0 || size > maxHandover {
		return nil, fmt.Errorf("hand-over of %d bytes: %w", size, ErrFrame)
	}
	var data []byte
	for len(data) < size {
		part, err := readFrame(r)
		if err != nil {
			return nil, err
		}
		if len(part) == 0 || len(data)+len(part) > size {
			return nil, fmt.Errorf("part of %d bytes: %w", len(part), ErrFrame)
		}
		data = append(data, part...)
	}
	return data, nil
}

func writeChunks(w io.Writer, data []byte) error {
	for len(data) > 0 {
		n := min(chunkSize, len(data))
		if _, err := w.Write(frameOf(data[:n])); err != nil {
			return fmt.Errorf("write part: %w", err)
		}
		data = data[n:]
	}
	return nil
}
