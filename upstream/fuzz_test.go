package upstream

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
)

// maxFuzz bounds the inputs, in bytes.
const maxFuzz = 4096

// Guards against an answer that crashes the parser, or that is accepted although it belongs to another request or is
// shorter than its declared length, and against a connection that is used again in the middle of an answer.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nRequest: r2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\n\r\nhalf",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nRequest: r1\r\n\r\n",
		"HTTP/1.1 503 x\r\nRequest: r1\r\nOutcome: notrun\r\nLeaving: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0 200 OK\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		if len(data) > maxFuzz {
			return
		}
		m := &cuminstair.Message{ID: "r1", Method: http.MethodPost, Path: "/"}
		if head {
			m.Method = http.MethodHead
		}
		input := bytes.NewReader(data)
		c := &conn{br: bufio.NewReader(input)}
		a := &attempt{conn: c, message: m}
		answer, reusable, err := a.read()
		if reusable && c.br.Buffered()+input.Len() > 0 {
			t.Errorf("the connection is used again with %d bytes unread", c.br.Buffered()+input.Len())
		}
		if (err == nil) != (answer != nil) {
			t.Fatalf("answer %v, error %v", answer, err)
		}
		if err != nil {
			return
		}
		checkAnswer(t, answer, data, head)
	})
}

// checkAnswer compares an accepted answer with the bytes that it was read from.
func checkAnswer(t *testing.T, answer *cuminstair.Message, data []byte, head bool) {
	t.Helper()
	if answer.Status < http.StatusOK || answer.Outcome != cuminstair.OutcomeDone {
		t.Errorf("status %d, outcome %s", answer.Status, answer.Outcome)
	}
	if head && len(answer.Body) > 0 || len(answer.Body) > len(data) {
		t.Errorf("unexpected body of %d bytes", len(answer.Body))
	}
	if !bytes.Contains(bytes.ToLower(data), []byte("request:")) || !bytes.Contains(data, []byte("r1")) {
		t.Error("answer accepted without the id of the request")
	}
	for name := range answer.Header {
		if droppedHeaders[name] {
			t.Errorf("header %s is passed on", name)
		}
	}
}

// Guards against a request whose path, method or headers reach the upstream as another request or as two.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/work?x=1", "Cookie", "a=1", "body")
	f.Add("GET", "/a%20b", "content-length", "5", "")
	f.Add("PUT", "/", "X", "a\r\nRequest: r2", "GET / HTTP/1.1\r\n\r\n")
	f.Add("GET /x HTTP/1.1\r\nA: b", "/", "X: y\r\nTransfer-Encoding", "chunked", "0\r\n\r\n")
	f.Add("GET", "/", "X: y\r\nRequest", "r2", "")
	f.Add("DELETE", "//host/x y", "Host", "elsewhere", "")
	f.Fuzz(func(t *testing.T, method, path, name, value, body string) {
		if len(method)+len(path)+len(name)+len(value)+len(body) > maxFuzz {
			return
		}
		var out bytes.Buffer
		m := &cuminstair.Message{
			ID: "r1", Team: "t1", Method: method, Path: path, Body: []byte(body), Timeout: time.Second,
			Header: map[string][]string{name: {value, value}},
		}
		w := bufio.NewWriter(&out)
		if err := writeRequest(w, "127.0.0.1:1", m); err != nil {
			if out.Len() > 0 || w.Buffered() > 0 {
				t.Error("a part of a malformed request was written")
			}
			return
		}
		in := bufio.NewReader(&out)
		r, err := http.ReadRequest(in)
		if err != nil {
			return // the upstream rejects it as well
		}
		var got bytes.Buffer
		if _, err := got.ReadFrom(r.Body); err != nil || got.String() != body {
			t.Errorf("body %q instead of %q: %v", got.String(), body, err)
		}
		if in.Buffered()+out.Len() > 0 {
			t.Error("bytes follow the request")
		}
		if r.Method != method || r.Host != "127.0.0.1:1" || strings.Join(r.Header["Request"], " ") != "r1" ||
			strings.Join(r.Header["Team"], " ") != "t1" || strings.Join(r.Header["Deadline"], " ") != "1s" {
			t.Errorf("method %q, host %q, header %v", r.Method, r.Host, r.Header)
		}
	})
}

// Guards against an answer to GET /health that crashes the parser or yields a negative count of requests.
func FuzzHealth(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: "
	f.Add([]byte(head + "29\r\n\r\n" + `{"state":"leaving","used": 3}`))
	f.Add([]byte(head + "2\r\nLeaving: 1\r\n\r\n{}"))
	f.Add([]byte(head + "11\r\n\r\n" + `{"used":-5}`))
	f.Add([]byte(head + "99999999\r\n\r\n{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 2*maxFuzz {
			return
		}
		h, err := readHealth(bufio.NewReader(bytes.NewReader(data)))
		if err == nil && h.inUse < -1 {
			t.Errorf("negative count of requests in use: %d", h.inUse)
		}
	})
}
