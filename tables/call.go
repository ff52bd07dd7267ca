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

// maxResponse bounds a response in bytes. A page of 2,000 rows takes about 1 MB.
const maxResponse = 64 << 20

// errRejected means that the request could not be built or that the platform rejected it; nothing was written.
const errRejected = errors.ConstError("the platform rejected the request")

// errBreakerOpen means that the circuit breaker is open; nothing was sent.
const errBreakerOpen = errors.ConstError("the platform failed several times in a row")

// request is one request to the platform.
type request struct {
	method, path string
	body         []byte
	write        bool // without a response, it is unknown whether the write took effect
	idempotent   bool // may be sent again even if an earlier attempt may have taken effect
}

// call sends a request, retries it if that is safe, and returns the body of the response. Errors: ErrUnavailable,
// ErrUncertain (writes only), ErrConflict, ErrNotFound, errRejected.
func (c *Client) call(ctx context.Context, r request) ([]byte, error) {
	uncertain := false
	for attempt := 0; ; attempt++ {
		data, err := c.attempt(ctx, r)
		uncertain = uncertain || errors.Is(err, cuminstair.ErrUncertain)
		retry := (errors.Is(err, cuminstair.ErrUnavailable) && !errors.Is(err, errBreakerOpen)) || (r.idempotent && errors.Is(err, cuminstair.ErrUncertain))
		if !retry || attempt+1 >= c.Attempts || !c.sleep(ctx, c.retryDelay(attempt)) {
			if uncertain && errors.Is(err, cuminstair.ErrUnavailable) {
				return nil, fmt.Errorf("an earlier attempt was sent: %w", cuminstair.ErrUncertain)
			}
			return data, err
		}
	}
}

// attempt sends a request once.
func (c *Client) attempt(ctx context.Context, r request) ([]byte, error) {
	if err := c.acquire(ctx, r.write); err != nil {
		return nil, err
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := c.Timer.After(c.Timeout, func(time.Time) { cancel() })
	defer stop()
	res, err := c.send(attemptCtx, r)
	switch {
	case err == nil:
		c.record(outcomeAnswered)
		return res.data, nil
	case !errors.Is(err, cuminstair.ErrUnavailable):
		c.record(outcomeAnswered)
		return nil, err
	case ctx.Err() != nil:
		c.record(outcomeCancelled)
	default:
		c.record(outcomeFailed)
	}
	if r.write && res.mayHaveRun {
		return nil, fmt.Errorf("%w: %s", cuminstair.ErrUncertain, err.Error())
	}
	return nil, err
}

// response is the result of an attempt. mayHaveRun is false if the request certainly had no effect, because it got no
// connection or the platform reported the outcome notrun. If mayHaveRun is true, ErrUnavailable leaves open whether the
// request took effect.
type response struct {
	data       []byte
	mayHaveRun bool
}

// send sends a request and reads the response.
func (c *Client) send(ctx context.Context, r request) (response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, c.Base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", errRejected, err)
	}
	// Without GetBody the transport can't resend a request that has a body by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	if err != nil {
		return response{mayHaveRun: connected.Load()}, fmt.Errorf("%w: %s", cuminstair.ErrUnavailable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	if err != nil {
		return response{mayHaveRun: true}, fmt.Errorf("%w: read response: %s", cuminstair.ErrUnavailable, err.Error())
	}
	mayHaveRun := res.Header.Get("Outcome") != cuminstair.OutcomeNotRun.String()
	return response{data: data, mayHaveRun: mayHaveRun}, statusError(res, data)
}

// statusError returns the error for a status. A status of 500 or above may come from an intermediary and does not show
// whether the platform received the request.
func statusError(res *http.Response, data []byte) error {
	status := res.StatusCode
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return fmt.Errorf("%w: %s", cuminstair.ErrConflict, errorText(data))
	case status == http.StatusNotFound:
		return fmt.Errorf("%w: %s", cuminstair.ErrNotFound, errorText(data))
	case status < http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d: %s", errRejected, status, errorText(data))
	default:
		return fmt.Errorf("%w: status %d: %s", cuminstair.ErrUnavailable, status, errorText(data))
	}
}

func errorText(data []byte) string {
	var m struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(data, &m) // A response of another form has no error text.
	return m.Error
}

// get sends a GET request and decodes the JSON response into v.
func (c *Client) get(ctx context.Context, path string, v any) error {
	data, err := c.call(ctx, request{method: http.MethodGet, path: path, idempotent: true})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode response: %w: %s", cuminstair.ErrUnavailable, err.Error())
	}
	return nil
}

// post sends a POST request with a JSON body.
func (c *Client) post(ctx context.Context, path string, in any, idempotent bool) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request body: %w", err)
	}
	return c.call(ctx, request{method: http.MethodPost, path: path, body: body, write: true, idempotent: idempotent})
}
