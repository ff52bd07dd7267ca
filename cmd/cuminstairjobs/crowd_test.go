package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/site"
)

// The settings of the daemon under test, and the flood. The bounds of the tests are the two limits of the settings.
const (
	crowdMemory = 96   // MB; a daemon without load has a peak of about 25
	manyFiles   = 4100 // descriptors, as on the smallest entry host
	fewFiles    = 600
	crowdSize   = 600     // connections of a flood that is to fill the memory
	crowdFiles  = 800     // connections of a flood that is to use up fewFiles
	crowdBody   = 262144  // bytes, max_body_bytes of the stand-in site
	largestHead = 16384   // bytes, max_header_bytes of the pages
	crowdHead   = 1 << 20 // bytes of a head without an end that a connection sends at most
	crowdWait   = 20 * time.Second
)

// crowdTarget is the listener that a flood goes to.
type crowdTarget uint8

const (
	toCallers crowdTarget = iota
	toPeers
	toReadiness
	toMetrics
)

// flood is one kind of load from clients that the daemon does not control.
type flood struct {
	to    crowdTarget
	size  int // connections
	files int // file_descriptors of the settings
	// send writes to a connection what its client sends. The connection then stays open.
	send func(c net.Conn, i int) error
}

// crowd is the open connections of a flood.
type crowd struct{ conns []net.Conn }

// openCrowd opens the connections of a flood at once and returns when each client has sent all or was refused.
func openCrowd(t *testing.T, addr string, fl flood) *crowd {
	t.Helper()
	c := &crowd{conns: make([]net.Conn, fl.size)}
	t.Cleanup(c.close)
	var wg sync.WaitGroup
	for i := range c.conns {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, crowdWait)
			if err != nil {
				return // refused, which the daemon may do
			}
			c.conns[i] = conn
			if conn.SetDeadline(time.Now().Add(crowdWait)) == nil {
				_ = fl.send(conn, i) // fails if the daemon closes the connection
			}
		})
	}
	wg.Wait()
	return c
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// limitSettings writes other limits into the settings file of a daemon.
func limitSettings(t *testing.T, d *daemon, memory, files int) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(d.settingsFile)
	is.NoErr(err)
	var s map[string]any
	is.NoErr(json.Unmarshal(data, &s))
	s["limits"] = map[string]any{"cpu_share": 1.0, "cores": 1, "memory_mb": memory, "file_descriptors": files}
	data, err = json.Marshal(s)
	is.NoErr(err)
	is.NoErr(os.WriteFile(d.settingsFile, data, 0o600))
}

// peakMemory returns the peak resident memory of a daemon in MB.
func peakMemory(t *testing.T, d *daemon) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest + " -")[0])
	if err != nil {
		t.Fatalf("the daemon has ended: %v", err)
	}
	return kb >> 10
}

// openFiles returns the number of open descriptors of a daemon.
func openFiles(t *testing.T, d *daemon) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}

// checkFlood checks that a daemon survives a flood within the limits of its settings, and serves an ordinary job while
// the flood is open and after it.
func checkFlood(t *testing.T, fl flood) {
	t.Helper()
	is := is.New(t)
	f := newFleet(t, 1, map[string]int{"s1": 2})
	f.site.Configure([]string{"s1"}, 10*time.Second)
	d := f.daemons[0]
	limitSettings(t, d, crowdMemory, fl.files)
	metrics := strconv.Itoa(freePort(t))
	d.args = []string{"--metrics", metrics}
	f.startAll()
	f.submit(d, "s1", jobID(1), 1, 50*time.Millisecond)
	addr := map[crowdTarget]string{
		toCallers: d.callersAddr, toPeers: d.internalAddr, toReadiness: d.readinessAddr, toMetrics: "127.0.0.1:" + metrics,
	}[fl.to]

	files := 0
	t.Cleanup(func() {
		t.Logf("peak resident memory %d MB of %d, %d descriptors of %d", peakMemory(t, d), crowdMemory, files, fl.files)
	})
	c := openCrowd(t, addr, fl)
	f.client.CloseIdleConnections() // a new connection is accepted after those of the flood
	f.submit(d, "s1", jobID(2), 1, 50*time.Millisecond)
	f.until(shortTimeout, "the daemon is ready while the flood is open", func() bool { return f.isReady(d) })
	files = openFiles(t, d)
	c.close()
	f.submit(d, "s1", jobID(3), 1, 50*time.Millisecond)

	is.True(!d.wait(0))                      // the process has not ended
	is.True(peakMemory(t, d) <= crowdMemory) // peak resident memory within memory_mb
	is.True(files <= fl.files)               // open descriptors within file_descriptors
	f.checkNoFaults()
}

// largeBody returns a body of the largest legal size, which is a JSON job with as many steps as fit.
func largeBody() []byte {
	const begin, end = `{"steps":[{}`, `]}`
	b := append(make([]byte, 0, crowdBody), begin...)
	b = append(b, bytes.Repeat([]byte(",{}"), (crowdBody-len(begin)-len(end))/3)...)
	b = append(b, bytes.Repeat([]byte(" "), crowdBody-len(end)-len(b))...)
	return append(b, end...)
}

func postHead(i int, framing string) string {
	return fmt.Sprintf("POST /s1/%s HTTP/1.1\r\nHost: q.example\r\n%s\r\n\r\n", jobID(1000+i), framing)
}

func knownLength() string { return "Content-Length: " + strconv.Itoa(crowdBody) }

// sendPieces writes data in pieces of a number of bytes.
func sendPieces(c io.Writer, data []byte, piece int) error {
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := c.Write(data[:n]); err != nil {
			return err //nolint:wrapcheck // ignored
		}
		data = data[n:]
	}
	return nil
}

// sendChunked sends a body of the largest legal size in chunks, without the last one.
func sendChunked(c net.Conn, i, chunk int) error {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	data := append([]byte(postHead(i, "Transfer-Encoding: chunked")), bytes.Repeat(one, crowdBody/chunk)...)
	return sendPieces(c, data, len(data))
}

// endlessHead returns the begin of a head with header lines of different names.
var endlessHead = sync.OnceValue(func() []byte {
	head := []byte("GET /s1/ HTTP/1.1\r\nHost: q.example\r\n")
	for n := 0; len(head) < crowdHead; n++ {
		head = fmt.Appendf(head, "X-%d: %d\r\n", n, n)
	}
	return head
})

// sendEndlessHead sends header lines until the daemon closes the connection, up to crowdHead bytes.
func sendEndlessHead(c net.Conn, _ int) error {
	return sendPieces(c, endlessHead(), 4<<10)
}

// Guards against memory that runs out because of bodies of legal size whose last byte never arrives.
func TestCrowdOfShortBodies(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: func(c net.Conn, i int) error {
		data := append([]byte(postHead(i, knownLength())), largeBody()...)
		return sendPieces(c, data[:len(data)-1], len(data))
	}})
}

// Guards against the same when the bodies arrive in many pieces.
func TestCrowdOfShortBodiesInPieces(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: func(c net.Conn, i int) error {
		data := append([]byte(postHead(i, knownLength())), largeBody()...)
		return sendPieces(c, data[:len(data)-1], 1000)
	}})
}

// Guards against memory that runs out because of chunked bodies without an end.
func TestCrowdOfEndlessChunks(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: func(c net.Conn, i int) error {
		return sendChunked(c, i, 32<<10)
	}})
}

// Guards against the same when the chunks are very small.
func TestCrowdOfEndlessSmallChunks(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: func(c net.Conn, i int) error {
		return sendChunked(c, i, 4)
	}})
}

// Guards against memory that runs out because many large bodies are decoded at once.
func TestCrowdOfWholeBodies(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: func(c net.Conn, i int) error {
		if err := sendPieces(c, append([]byte(postHead(i, knownLength())), largeBody()...), crowdBody); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1000))
		return err //nolint:wrapcheck // ignored
	}})
}

// Guards against memory that runs out because of complete heads far above the limit, whose requests wait for a body.
func TestCrowdOfLongHeads(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: func(c net.Conn, i int) error {
		head := postHead(i, "X-Long: "+strings.Repeat("x", crowdHead/2)+"\r\n"+knownLength())
		return sendPieces(c, []byte(head), len(head))
	}})
}

// Guards against memory that runs out because of heads without an end.
func TestCrowdOfEndlessHeads(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: sendEndlessHead})
}

// Guards against a daemon that reads empty lines before a request for ever.
func TestCrowdOfEmptyLines(t *testing.T) {
	checkFlood(t, flood{size: crowdSize, files: manyFiles, send: func(c net.Conn, _ int) error {
		return sendPieces(c, bytes.Repeat([]byte("\r\n"), crowdHead/2), 4<<10)
	}})
}

// Guards against connections that use up the descriptors, so that neither callers nor the daemon can connect.
func TestCrowdOfConnections(t *testing.T) {
	checkFlood(t, flood{size: crowdFiles, files: fewFiles, send: func(c net.Conn, _ int) error {
		return sendPieces(c, []byte("GET /s1/ HTTP/1.1\r\n"), 100)
	}})
}

// sendHeads lets every second client send a head without an end, and the others the begin of a head.
func sendHeads(c net.Conn, i int) error {
	if i%2 == 0 {
		return sendEndlessHead(c, i)
	}
	return sendPieces(c, []byte("GET / HTTP/1.1\r\n"), 100)
}

// Guards against floods of heads and connections at the listener for other daemons.
func TestCrowdOfPeers(t *testing.T) {
	checkFlood(t, flood{to: toPeers, size: crowdFiles, files: fewFiles, send: sendHeads})
}

// Guards against the same at the listener for the load balancer.
func TestCrowdAtReadiness(t *testing.T) {
	checkFlood(t, flood{to: toReadiness, size: crowdFiles, files: fewFiles, send: sendHeads})
}

// Guards against the same at the listener for metrics.
func TestCrowdAtMetrics(t *testing.T) {
	checkFlood(t, flood{to: toMetrics, size: crowdFiles, files: fewFiles, send: sendHeads})
}

// Guards against limits that refuse a request whose head and body have the largest legal size.
func TestLargestRequestIsServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, map[string]int{"s1": 2})
	f.site.Configure([]string{"s1"}, 10*time.Second)
	d := f.daemons[0]
	limitSettings(t, d, crowdMemory, fewFiles)
	f.startAll()
	f.submit(d, "s1", jobID(1), 1, 50*time.Millisecond)

	f.site.DeclareJob(jobID(2), site.Task{CPU: 4000, Length: 50 * time.Millisecond})
	job := body(jobID(2), 1, false)
	job += strings.Repeat(" ", crowdBody-len(job))
	const before, after = "POST /s1/0000000000000002 HTTP/1.1\r\nHost: q.example\r\nContent-Length: 262144\r\nX-Long: ", "\r\n\r\n"
	head := before + strings.Repeat("x", largestHead-len(before)-len(after)) + after
	c, err := net.Dial("tcp", d.callersAddr)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(crowdWait)))
	is.NoErr(sendPieces(c, []byte(head+job), 10_000))
	answer := make([]byte, 100)
	n, err := c.Read(answer)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200 "))
}
