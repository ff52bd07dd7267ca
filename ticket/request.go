package ticket

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"cuminstair.org/cuminstair"
)

// Hash identifies the request that a ticket was first used for.
type Hash [sha256.Size]byte

// HashOf hashes the parts in which a repeat must equal the first request: method, service, kind, team, path and body.
// Headers and the time left are not among them, because they may differ in a repeat.
func HashOf(m *cuminstair.Message) Hash {
	h := sha256.New()
	for _, s := range []string{m.Method, m.Service, m.Kind, m.Team, m.Path} {
		writeSize(h, len(s))
		_, _ = io.WriteString(h, s)
	}
	writeSize(h, len(m.Body))
	_, _ = h.Write(m.Body)
	var sum Hash
	h.Sum(sum[:0])
	return sum
}

func writeSize(w io.Writer, n int) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(n))
	_, _ = w.Write(size[:])
}

// sizeOf returns the bytes that are charged for a stored answer.
func sizeOf(m *cuminstair.Message) int64 {
	if m == nil {
		return 0
	}
	n := len(m.ID) + len(m.Method) + len(m.Path) + len(m.Body) + len(m.Service) + len(m.Kind) + len(m.Team) +
		len(m.Ticket) + len(m.Reason) + messageCost
	for name, values := range m.Header {
		for _, value := range values {
			n += len(name) + len(value) + headerCost
		}
	}
	return int64(n)
}
