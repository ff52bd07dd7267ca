package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// read reads the answer to the request of the attempt. reusable reports whether the connection can be used again; it
// may be true also if err is errRefused.
func (a *attempt) read() (answer *cuminstair.Message, reusable bool, err error) {
	resp, err := a.head()
	if err != nil {
		return nil, false, fmt.Errorf("read answer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	a.leaving = resp.Header.Get("Leaving") == "1"
	if resp.Header.Get("Request") != a.message.ID {
		return nil, false, errMismatch
	}
	if refused(resp) {
		_, drainErr := io.CopyN(io.Discard, resp.Body, maxShortBody)
		return nil, errors.Is(drainErr, io.EOF) && a.canReuse(resp), errRefused
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, false, errNoLength
	}
	answer = newAnswer(a.message.ID, resp)
	if err := a.body(answer, resp); err != nil {
		return nil, false, err
	}
	return answer, a.canReuse(resp), nil
}

// headRequest makes http.ReadResponse expect an answer without a body.
var headRequest = &http.Request{Method: http.MethodHead}

// head reads the head of the final answer and skips interim (1xx) answers.
func (a *attempt) head() (*http.Response, error) {
	var request *http.Request // nil means GET
	if a.message.Method == http.MethodHead {
		request = headRequest
	}
	for {
		resp, err := http.ReadResponse(a.conn.br, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// body buffers an answer of up to MaxBody bytes and streams a longer one.
func (a *attempt) body(answer *cuminstair.Message, resp *http.Response) error {
	if resp.ContentLength > MaxBody {
		return a.stream(answer, resp, nil)
	}
	if resp.ContentLength >= 0 {
		answer.Body = make([]byte, resp.ContentLength)
		if a.message.Method == http.MethodHead {
			answer.Body = nil
		}
		if _, err := io.ReadFull(resp.Body, answer.Body); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		return nil
	}
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(io.LimitReader(resp.Body, MaxBody+1)); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if buf.Len() > MaxBody {
		return a.stream(answer, resp, buf.Bytes())
	}
	answer.Body = buf.Bytes()
	return nil
}

// stream passes the answer to the sink of the message. buffered is the part of the body that was read already.
func (a *attempt) stream(answer *cuminstair.Message, resp *http.Response, buffered []byte) error {
	if a.message.Sink == nil {
		return errTooLong
	}
	if resp.ContentLength >= 0 {
		answer.Header["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w, err := a.message.Sink(answer)
	if err != nil {
		return fmt.Errorf("open sink for answer: %w", err)
	}
	if _, err := w.Write(buffered); err != nil {
		return fmt.Errorf("stream answer: %w", err)
	}
	if _, err := io.Copy(w, resp.Body); err != nil {
		return fmt.Errorf("stream answer: %w", err)
	}
	return nil
}

// canReuse reports whether the connection stays open and has no unread bytes after an answer.
func (a *attempt) canReuse(resp *http.Response) bool {
	return !resp.Close && a.conn.br.Buffered() == 0
}

// refused reports whether the answer says that the upstream did not run the request.
func refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get("Outcome") == cuminstair.OutcomeNotRun.String()
}

// droppedHeaders lists the headers of an answer that are not passed on: those of one connection (RFC 9110, section
// 7.6.1) and those that the daemon sets itself.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Request": true, "Outcome": true, "Reason": true, "Leaving": true,
}

func newAnswer(id string, resp *http.Response) *cuminstair.Message {
	for name := range resp.Header {
		if droppedHeaders[name] {
			delete(resp.Header, name)
		}
	}
	return &cuminstair.Message{
		ID:      id,
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Outcome: cuminstair.OutcomeDone,
		Reason:  cuminstair.ReasonOK,
	}
}
