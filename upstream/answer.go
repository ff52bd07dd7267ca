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
		_, drainErr := io.CopyN(io.Discard, resp.Body, maxHealth)
		return nil, errors.Is(drainErr, io.EOF) && a.clean(resp), errRefused
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, false, errLength
	}
	answer = newAnswer(a.message.ID, resp)
	if err := a.body(answer, resp); err != nil {
		return nil, false, err
	}
	return answer, a.clean(resp), nil
}

// headRequest tells http.ReadResponse that the answer has no body.
var headRequest = &http.Request{Method: http.MethodHead}

// head reads the head of the final answer and passes over interim ones.
func (a *attempt) head() (*http.Response, error) {
	var asked *http.Request // nil means GET
	if a.message.Method == http.MethodHead {
		asked = headRequest
	}
	for {
		resp, err := http.ReadResponse(a.conn.br, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// body buffers an answer to MaxBody and streams a longer one.
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

func (a *attempt) stream(answer *cuminstair.Message, resp *http.Response, first []byte) error {
	if a.message.Sink == nil {
		return errTooLong
	}
	if resp.ContentLength >= 0 {
		answer.Header["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w, err := a.message.Sink(answer)
	if err != nil {
		return fmt.Errorf("pass on the answer: %w", err)
	}
	if _, err := w.Write(first); err != nil {
		return fmt.Errorf("pass on the answer: %w", err)
	}
	if _, err := io.Copy(w, resp.Body); err != nil {
		return fmt.Errorf("pass on the answer: %w", err)
	}
	return nil
}

// clean reports whether the connection is between two answers.
func (a *attempt) clean(resp *http.Response) bool {
	return !resp.Close && a.conn.br.Buffered() == 0
}

// refused reports whether the upstream said that it did not run the request.
func refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get("Outcome") == cuminstair.OutcomeNotRun.String()
}

// hop lists the headers that belong to one connection (RFC 9110, section 7.6.1) and those that the daemon sets itself.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Request": true, "Outcome": true, "Reason": true, "Leaving": true,
}

func newAnswer(id string, resp *http.Response) *cuminstair.Message {
	for name := range resp.Header {
		if hop[name] {
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
