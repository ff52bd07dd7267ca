package intake

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Time limits of a connection apart from those of the configuration.
const (
	// writeWait is the time limit for one write. The answers are short; a client that reads none would hold its connection.
	writeWait = 30 * time.Second
	// lingerWait is how long a connection whose request was refused is read and discarded, so that the client, which may
	// still be sending, can read the answer before the connection is reset.
	lingerWait  = time.Second
	lingerBytes = 256 << 10 // that are discarded at most after a head over the limit
	readAhead   = 4 << 10   // bytes that net/http may read beyond the end of a head
)

// Answers to a head that is refused before its end.
const (
	headRefusal   = "431 Request Header Fields Too Large"
	memoryRefusal = "503 Service Unavailable\r\nRetry-After: %d"
)

// Conn is an accepted connection. While it waits for a request, it applies the limits of heads.
type Conn struct {
	net.Conn
	gate   *Gate
	client Client // guarded by gate.mu

	serving atomic.Bool // a head has arrived, and its response has not been sent; changes with mu held
	mu      sync.Mutex
	since   time.Time // begin of the wait for a request, and once its first byte has arrived, of its head
	inHead  bool

	// Used only by the goroutine that serves the connection.
	head     head
	received int   // bytes since the begin of the wait
	held     int64 // bytes of memory that the head holds
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.serving.Load() {
		return c.Conn.Read(p) //nolint:wrapcheck // net/http looks for net.Error
	}
	for {
		c.rearm()
		n, err := c.Conn.Read(p)
		if n > 0 {
			if refusal := c.countHead(p[:n]); refusal != "" {
				c.refuseHead(refusal, p)
				return 0, io.EOF
			}
		}
		var timeout net.Error
		if n == 0 && errors.As(err, &timeout) && timeout.Timeout() {
			if time.Now().Before(c.due()) {
				continue // the limit was raised meanwhile
			}
			if c.received > 0 {
				c.report(HeadTooSlow)
			}
		}
		return n, err //nolint:wrapcheck // net/http looks for net.Error
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeWait)); err != nil {
		return 0, err //nolint:wrapcheck // as net.Conn
	}
	return c.Conn.Write(p) //nolint:wrapcheck // as net.Conn
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.close(c)
	return c.Conn.Close() //nolint:wrapcheck // as net.Conn
}

// CloseWrite ends the sending direction, as net.TCPConn does.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite() //nolint:wrapcheck // as net.TCPConn
	}
	return nil
}

// countHead counts a piece of a head. It returns the answer to a head that is over a limit, and otherwise nothing.
func (c *Conn) countHead(p []byte) (refusal string) {
	if c.received == 0 {
		c.mu.Lock()
		c.since, c.inHead = time.Now(), true
		c.mu.Unlock()
	}
	c.received += len(p)
	c.head.add(p)
	if limit := c.gate.limits.Load().Head; c.head.size > limit || c.received > limit+readAhead {
		c.report(HeadTooLarge)
		return headRefusal
	}
	if held := headBytes(c.head.size, c.head.lines); held > freeHead {
		c.held = held
		if !c.gate.hold(c, held) {
			return fmt.Sprintf(memoryRefusal, RetryAfter(time.Now()))
		}
	}
	return ""
}

// hold makes the request hold memory for its body. It reports false if the request has been evicted.
func (c *Conn) hold(bytes int64) bool { return c == nil || c.gate.hold(c, c.held+bytes) }

// release frees the memory of the body of a request that is not served.
func (c *Conn) release() {
	if c != nil {
		c.gate.release(c, c.held)
	}
}

// wasEvicted reports whether the request has been evicted or its connection closed.
func (c *Conn) wasEvicted() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.client.evicted || !c.client.open
}

// complete notes that the request has arrived whole, with a body of that size. Error: ErrNoMemory.
func (c *Conn) complete(size int64) error {
	if c == nil {
		return nil
	}
	if size > smallBody && !c.hold(decodeBytes*size) || !c.gate.complete(c) {
		return ErrNoMemory
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	return nil
}

// refuseHead answers a head that is over a limit, and discards what the client still sends.
func (c *Conn) refuseHead(refusal string, buf []byte) {
	answer := "HTTP/1.1 " + refusal + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	_, _ = c.Write([]byte(answer)) // the client may have gone
	_ = c.CloseWrite()
	c.linger()
	for n := 0; n < lingerBytes; {
		more, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		n += more
	}
}

func (c *Conn) linger() { _ = c.SetReadDeadline(time.Now().Add(lingerWait)) }

func (c *Conn) due() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dueLocked()
}

func (c *Conn) dueLocked() time.Time {
	l := c.gate.limits.Load()
	if c.inHead {
		return c.since.Add(l.HeadWait)
	}
	return c.since.Add(l.idleWait(c.client.group))
}

// rearm sets the deadline of the head or of the wait for one. Limits may have changed since it was set.
func (c *Conn) rearm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving.Load() {
		_ = c.SetReadDeadline(c.dueLocked()) // fails only on a closed connection
	}
}

// headDone notes that the head of a request has arrived, or that there will be none.
func (c *Conn) headDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving.Store(true)
	_ = c.SetReadDeadline(time.Time{})
}

// wait notes that the connection waits for the next request.
func (c *Conn) wait() {
	c.head, c.received, c.held = head{}, 0, 0
	if !c.gate.wait(c) {
		c.abort()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.inHead = time.Now(), false
	c.serving.Store(false)
}

// evict makes an evicted request fail: its body can't be read any more, or, before the end of its head, its connection is closed.
func (c *Conn) evict() {
	c.mu.Lock()
	serving := c.serving.Load()
	if serving {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if !serving {
		c.abort()
	}
}

// abort closes the connection for the goroutine that serves it, which then calls Close and so frees its memory.
func (c *Conn) abort() { _ = c.Conn.Close() }

func (c *Conn) report(r Reason) { c.gate.report(r, c.client.group, c.RemoteAddr()) }
