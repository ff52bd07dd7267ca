package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Errors of ReadBody. The request has not been served, and never is.
const (
	ErrTooLarge = errors.ConstError("the body is too large")
	ErrNoMemory = errors.ConstError("no memory for the body of the request")
	ErrTooSlow  = errors.ConstError("the body did not arrive in time")
)

// initialBuffer is the size in bytes of the first buffer for a body: most jobs fit. A full buffer is replaced by one that is
// bufferGrowth times as large, so that a body that is announced and not sent takes little memory.
const (
	initialBuffer = 4 << 10
	bufferGrowth  = 4
)

// ReadBody reads the body of a request, of at most limit bytes. Errors: ErrTooLarge, ErrNoMemory, ErrTooSlow, or what
// reading returned. After an error the connection must be closed, see Refuse.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r)
	if r.ContentLength > limit {
		return nil, refusal(c, BodyTooLarge, ErrTooLarge)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	size := limit + 1 // one more byte shows that a body of unknown size is too large
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	body, err := readUpTo(r, c, size)
	switch {
	case err != nil:
		err = readError(c, err)
	case int64(len(body)) > limit:
		err = refusal(c, BodyTooLarge, ErrTooLarge)
	default:
		err = c.complete(int64(len(body)))
	}
	if err != nil {
		c.release()
		return nil, err
	}
	return body, nil
}

// readUpTo reads a body until it has size bytes or ends.
func readUpTo(r *http.Request, c *Conn, size int64) ([]byte, error) {
	var body []byte
	for int64(len(body)) < size {
		if len(body) == cap(body) {
			next := min(size, max(initialBuffer, bufferGrowth*int64(cap(body))))
			if !c.hold(next + int64(cap(body))) { // both buffers exist while the content is copied
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read the body: %w", err)
		}
	}
	return body, nil
}

// readError returns the error of ReadBody for a body that could not be read.
func readError(c *Conn, err error) error {
	var timeout net.Error
	switch {
	case c == nil || errors.Is(err, ErrNoMemory):
		return err
	case c.wasEvicted():
		return ErrNoMemory // its eviction, or the closing of its connection, has been reported
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusal(c, BodyTooSlow, ErrTooSlow)
	}
	return err
}

func refusal(c *Conn, r Reason, err error) error {
	if c != nil {
		c.report(r)
	}
	return err
}

// retries is the number of different times to retry, in seconds, of requests that find no memory. A flood of large bodies
// passes in seconds, and callers must not return together.
const retries = 3

// RetryAfter returns the value of Retry-After for a request that finds no memory at a time.
func RetryAfter(now time.Time) int { return 1 + int(now.UnixMicro()%retries) }

// Refuse prepares the answer to a request whose body has not been read: the connection is closed after it.
func Refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if c := connOf(r); c != nil {
		c.linger()
	}
}
