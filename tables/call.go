package tables

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// maxAnswer bounds an answer in bytes. A page of 2,000 rows takes about 1 MB.
const maxAnswer = 64 << 20

// errRejected means that the platform refused a request as malformed; nothing was written.
const errRejected = errors.ConstError("the platform rejected the request")

// errOpen means that the circuit is open; nothing was sent.
const errOpen = errors.ConstError("the platform failed several times in a row")

// request is one request to the platform.
type request struct {
	method, path string
	body         []byte
	write        bool // an answer that is lost leaves the effect open
	repeat       bool // sending it again is harmless
}

// call sends a request, again if that is harmless, and returns the body of the answer. Errors: ErrUnavailable,
// ErrUncertain (writes only), ErrConflict, ErrNotFound, errRejected.
func (c *Client) call(ctx context.Context, r request) ([]byte, error) {
	uncertain := false
	for attempt := 0; ; attempt++ {
		data, err := c.attempt(ctx, r)
		uncertain = uncertain || errors.Is(err, cuminstair.ErrUncertain)
		again := (errors.Is(err, cuminstair.ErrUnavailable) && !errors.Is(err, errOpen)) || (r.repeat && errors.Is(err, cuminstair.ErrUncertain))
		if !again || attempt+1 >= c.Attempts || !c.wait(ctx, c.pause(attempt)) {
			if uncertain && errors.Is(err, cuminstair.ErrUnavailable) {
				return nil, fmt.Errorf("an earlier attempt was sent: %w", cuminstair.ErrUncertain)
			}
			return data, err
		}
	}
}

// attempt sends a request once.
func (c *Client) attempt(ctx context.Context, r request) ([]byte, error) {
	if err := c.enter(ctx, r.write); err != nil {
		return nil, err
	}
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.Timer.After(c.Timeout, func(time.Time) { cancel() })
	defer stop()
	ans, err := c.send(limited, r)
	switch {
	case err == nil:
		c.leave(outcomeAnswered)
		return ans.data, nil
	case !errors.Is(err, cuminstair.ErrUnavailable):
		c.leave(outcomeAnswered)
		return nil, err
	case ctx.Err() != nil:
		c.leave(outcomeGaveUp)
	default:
		c.leave(outcomeFailed)
	}
	if r.write && ans.sent {
		return nil, fmt.Errorf("%w: %s", cuminstair.ErrUncertain, err.Error())
	}
	return nil, err
}

// answer is what came back. sent is false if it is proved that the request had no effect: it got no connection, or the
// platform said so. With sent, ErrUnavailable leaves the effect open.
type answer struct {
	data []byte
	sent bool
}

// send sends a request and reads the answer.
func (c *Client) send(ctx context.Context, r request) (answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, c.Base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", errRejected, err)
	}
	// Without GetBody the transport can't send the request a second time by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	if err != nil {
		return answer{sent: connected.Load()}, fmt.Errorf("%w: %s", cuminstair.ErrUnavailable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return answer{sent: true}, fmt.Errorf("%w: read the answer: %s", cuminstair.ErrUnavailable, err.Error())
	}
	sent := res.Header.Get("Outcome") != cuminstair.OutcomeNotRun.String()
	return answer{data: data, sent: sent}, statusError(res, data)
}

// statusError returns the error that a status stands for. A status of 500 or above from something in between does not
// tell whether the platform got the request.
func statusError(res *http.Response, data []byte) error {
	status := res.StatusCode
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return fmt.Errorf("%w: %s", cuminstair.ErrConflict, message(data))
	case status == http.StatusNotFound:
		return fmt.Errorf("%w: %s", cuminstair.ErrNotFound, message(data))
	case status < http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d: %s", errRejected, status, message(data))
	default:
		return fmt.Errorf("%w: status %d: %s", cuminstair.ErrUnavailable, status, message(data))
	}
}

func message(data []byte) string {
	var m struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(data, &m) // An answer of another form has no message.
	return m.Error
}

// get reads a JSON answer.
func (c *Client) get(ctx context.Context, path string, v any) error {
	data, err := c.call(ctx, request{method: http.MethodGet, path: path, repeat: true})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("read answer: %w: %s", cuminstair.ErrUnavailable, err.Error())
	}
	return nil
}

// post writes a JSON body.
func (c *Client) post(ctx context.Context, path string, in any, repeat bool) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("write body: %w", err)
	}
	return c.call(ctx, request{method: http.MethodPost, path: path, body: body, write: true, repeat: repeat})
}
