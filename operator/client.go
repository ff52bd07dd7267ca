package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Operations = (*Client)(nil)

// Client sends requests to the entry daemons. Its fields are set before the first call.
type Client struct {
	// Servers are base URLs such as "https://10.0.0.1:7002". They are tried in order until one can be reached.
	Servers []string
	HTTP    *http.Client
}

// Check implements cuminstair.Operations.
func (c *Client) Check(ctx context.Context, file, text string) error {
	return c.post(ctx, "/fleet/check", cuminstair.ApplyRequest{File: file, Text: text}, nil)
}

// Difference implements cuminstair.Operations.
func (c *Client) Difference(ctx context.Context, file, text string) ([]string, error) {
	var out Lines
	err := c.post(ctx, "/fleet/diff", cuminstair.ApplyRequest{File: file, Text: text}, &out)
	return out.Lines, err
}

// Apply implements cuminstair.Operations. The daemons recognise a repeat, also through another daemon, so that the same
// file can be applied again after a lost response.
func (c *Client) Apply(ctx context.Context, a cuminstair.ApplyRequest) (cuminstair.ApplyResult, error) {
	var out cuminstair.ApplyResult
	err := c.post(ctx, "/fleet", a, &out)
	return out, err
}

// Current implements cuminstair.Operations.
func (c *Client) Current(ctx context.Context) (cuminstair.Current, error) {
	return get[cuminstair.Current](ctx, c, "/fleet")
}

// Force implements cuminstair.Operations.
func (c *Client) Force(ctx context.Context, generation uint64) (cuminstair.ForceStatus, error) {
	return get[cuminstair.ForceStatus](ctx, c, "/force/"+strconv.FormatUint(generation, 10))
}

// Daemons implements cuminstair.Operations.
func (c *Client) Daemons(ctx context.Context) ([]cuminstair.DaemonStatus, error) {
	return get[[]cuminstair.DaemonStatus](ctx, c, "/daemons")
}

// Pools implements cuminstair.Operations.
func (c *Client) Pools(ctx context.Context) ([]cuminstair.PoolStatus, error) {
	return get[[]cuminstair.PoolStatus](ctx, c, "/pools")
}

// Hosts implements cuminstair.Operations.
func (c *Client) Hosts(ctx context.Context) ([]cuminstair.HostInfo, error) {
	return get[[]cuminstair.HostInfo](ctx, c, "/hosts")
}

// Waves implements cuminstair.Operations.
func (c *Client) Waves(ctx context.Context) ([]cuminstair.WaveStatus, error) {
	return get[[]cuminstair.WaveStatus](ctx, c, "/waves")
}

// Budgets implements cuminstair.Operations.
func (c *Client) Budgets(ctx context.Context) ([]cuminstair.BudgetStatus, error) {
	return get[[]cuminstair.BudgetStatus](ctx, c, "/budgets")
}

// Jobs implements cuminstair.Operations.
func (c *Client) Jobs(ctx context.Context) ([]cuminstair.JobStatus, error) {
	return get[[]cuminstair.JobStatus](ctx, c, "/jobs")
}

// ChangeHost implements cuminstair.Operations.
func (c *Client) ChangeHost(ctx context.Context, host, action string) error {
	return c.post(ctx, "/hosts/"+url.PathEscape(host)+"/"+url.PathEscape(action), nil, nil)
}

// ChangeWave implements cuminstair.Operations.
func (c *Client) ChangeWave(ctx context.Context, wave, action string) error {
	return c.post(ctx, "/waves/"+url.PathEscape(wave)+"/"+url.PathEscape(action), nil, nil)
}

// Submit implements cuminstair.Operations.
func (c *Client) Submit(ctx context.Context, jobs []cuminstair.Job) (cuminstair.Count, error) {
	var out cuminstair.Count
	err := c.post(ctx, "/jobs", jobs, &out)
	return out, err
}

// Cancel implements cuminstair.Operations.
func (c *Client) Cancel(ctx context.Context, sel cuminstair.Cancellation) (cuminstair.Count, error) {
	var out cuminstair.Count
	err := c.post(ctx, "/jobs/cancel", sel, &out)
	return out, err
}

// Explain implements cuminstair.Operations.
func (c *Client) Explain(ctx context.Context, kind, id string) (cuminstair.Explanation, error) {
	return get[cuminstair.Explanation](ctx, c, "/explain/"+url.PathEscape(kind)+"/"+url.PathEscape(id))
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request body: %w", err)
	}
	return c.call(ctx, http.MethodPost, path, data, out)
}

// call tries the servers in turn. It tries the next server only if no connection was made, since a request that a
// daemon received may have taken effect.
func (c *Client) call(ctx context.Context, method, path string, in []byte, out any) error {
	var failed []string
	for _, server := range c.Servers {
		err := c.send(ctx, method, strings.TrimSuffix(server, "/")+path, in, out)
		if !errors.Is(err, errNotSent) {
			return err
		}
		failed = append(failed, err.Error())
	}
	return fmt.Errorf("no daemon can be reached (%s): %w", strings.Join(failed, "; "), cuminstair.ErrUnavailable)
}

// errNotSent means that the connection to a daemon was not made.
const errNotSent = errors.ConstError("no connection")

func (c *Client) send(ctx context.Context, method, target string, in []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	// The transport would retry a POST by itself only with GetBody set.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return transportError(target, method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read response from %s: %w: %w", target, err, cuminstair.ErrUncertain)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeFailure(resp.StatusCode, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response from %s: %w", target, err)
	}
	return nil
}
