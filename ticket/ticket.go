// Package ticket lets a caller repeat a request without running it twice. A ticket names the daemon that issued it, its
// home, which keeps the outcome of the request in memory for the repeat window (Window). Nothing is written to the
// platform.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Errors of tickets in text form.
const (
	// ErrMalformed means that the text is not a ticket.
	ErrMalformed = errors.ConstError("malformed ticket")
	// ErrForged means that the signature is wrong; no daemon with this key issued the ticket.
	ErrForged = errors.ConstError("ticket with a wrong signature")
	// ErrKey means that the signing key is too short.
	ErrKey = errors.ConstError("the ticket key must have at least 16 bytes")
)

const (
	// MaxText is the longest text form in bytes.
	MaxText = 256
	// minKey is the shortest signing key in bytes.
	minKey = 16
	// macSize is the length of the truncated signature in bytes. RFC 2104 permits half of the hash, 128 bits.
	macSize = 16
	// base is the number base of the incarnation, sequence and expiry.
	base = 36
)

// Home identifies one process of a daemon. A restarted daemon has another incarnation.
type Home struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // never used twice for the same name
}

// Ticket permits one run of one request.
type Ticket struct {
	Home     Home
	Sequence uint64    // unique for its home
	Expires  time.Time // whole seconds; no run starts at or after it
}

// Key signs tickets. It has at least 16 bytes, and all daemons have the same key.
type Key []byte

// Check returns ErrKey if the key is too short.
func (k Key) Check() error {
	if len(k) < minKey {
		return fmt.Errorf("key of %d bytes: %w", len(k), ErrKey)
	}
	return nil
}

// Text returns the signed text form: home, incarnation, sequence, expiry and signature, separated by dots. The home may
// contain dots.
func (k Key) Text(t Ticket) string {
	b := make([]byte, 0, MaxText)
	b = append(b, t.Home.Name...)
	b = append(b, '.')
	b = strconv.AppendUint(b, t.Home.Incarnation, base)
	b = append(b, '.')
	b = strconv.AppendUint(b, t.Sequence, base)
	b = append(b, '.')
	b = strconv.AppendInt(b, t.Expires.Unix(), base)
	mac := k.sign(b)
	b = append(b, '.')
	b = base64.RawURLEncoding.AppendEncode(b, mac)
	return string(b)
}

// Parse checks the signature and reads the text form. Errors: ErrMalformed, ErrForged.
func (k Key) Parse(text string) (Ticket, error) {
	signed, mac, err := cutMAC(text)
	if err != nil {
		return Ticket{}, fmt.Errorf("read ticket: %w", err)
	}
	if !hmac.Equal(mac, k.sign([]byte(signed))) {
		return Ticket{}, fmt.Errorf("check ticket: %w", ErrForged)
	}
	t, err := parseSigned(signed)
	if err != nil {
		return Ticket{}, fmt.Errorf("read ticket: %w", err)
	}
	return t, nil
}

func (k Key) sign(text []byte) []byte {
	h := hmac.New(sha256.New, k)
	h.Write(text)
	return h.Sum(nil)[:macSize]
}

func cutMAC(text string) (signed string, mac []byte, err error) {
	dot := strings.LastIndexByte(text, '.')
	if dot <= 0 || len(text) > MaxText {
		return "", nil, ErrMalformed
	}
	// Strict rejects padding bits that are set, so that each ticket has exactly one text form.
	mac, err = base64.RawURLEncoding.Strict().DecodeString(text[dot+1:])
	if err != nil || len(mac) != macSize {
		return "", nil, ErrMalformed
	}
	return text[:dot], mac, nil
}

func parseSigned(signed string) (Ticket, error) {
	rest, expiry, ok := cutLast(signed)
	if !ok {
		return Ticket{}, ErrMalformed
	}
	rest, sequence, ok := cutLast(rest)
	if !ok {
		return Ticket{}, ErrMalformed
	}
	name, incarnation, ok := cutLast(rest)
	if !ok || name == "" {
		return Ticket{}, ErrMalformed
	}
	inc, err := strconv.ParseUint(incarnation, base, 64)
	if err != nil {
		return Ticket{}, ErrMalformed
	}
	seq, err := strconv.ParseUint(sequence, base, 64)
	if err != nil {
		return Ticket{}, ErrMalformed
	}
	exp, err := strconv.ParseInt(expiry, base, 64)
	if err != nil {
		return Ticket{}, ErrMalformed
	}
	return Ticket{Home: Home{Name: name, Incarnation: inc}, Sequence: seq, Expires: time.Unix(exp, 0)}, nil
}

func cutLast(s string) (before, after string, ok bool) {
	dot := strings.LastIndexByte(s, '.')
	if dot < 0 {
		return "", "", false
	}
	return s[:dot], s[dot+1:], true
}
