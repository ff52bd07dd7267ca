package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// bulkID replaces the task id in the path of an action on several tasks.
const bulkID = "-"

// Worker is a host that runs tasks.
type Worker struct {
	Name   string           `json:"name"`
	Centre string           `json:"centre"`
	Rack   string           `json:"rack"`
	Cores  int              `json:"cores"`
	Memory cuminstair.Bytes `json:"memory"`
	Accel  int              `json:"accel,omitempty"`
}

// Commit implements cuminstair.Table. A commit is retried only if it is certain that the platform did not apply it.
func (c *Client) Commit(ctx context.Context, commit cuminstair.Commit) (uint64, error) {
	data, err := c.post(ctx, "/table/commit", commit, false)
	if err != nil {
		return 0, fmt.Errorf("commit %s: %w", commit.ID, err)
	}
	var out struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(data, &out); err != nil || out.Version == 0 {
		return 0, fmt.Errorf("commit %s: malformed response: %w", commit.ID, cuminstair.ErrUncertain)
	}
	return out.Version, nil
}

// PutObject implements cuminstair.Objects.
func (c *Client) PutObject(ctx context.Context, hash string, data []byte) error {
	r := request{method: http.MethodPut, path: "/objects/" + url.PathEscape(hash), body: data, write: true, idempotent: true}
	if _, err := c.call(ctx, r); err != nil {
		return fmt.Errorf("put object %s: %w", hash, asUnavailable(err))
	}
	return nil
}

// asUnavailable turns ErrUncertain into ErrUnavailable, for writes that can be repeated at any time.
func asUnavailable(err error) error {
	if errors.Is(err, cuminstair.ErrUncertain) {
		return fmt.Errorf("%w: %s", cuminstair.ErrUnavailable, err.Error())
	}
	return err
}

// GetObject implements cuminstair.Objects.
func (c *Client) GetObject(ctx context.Context, hash string) ([]byte, error) {
	data, err := c.call(ctx, request{method: http.MethodGet, path: "/objects/" + url.PathEscape(hash), idempotent: true})
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", hash, err)
	}
	return data, nil
}

// Act implements cuminstair.HostList.
func (c *Client) Act(ctx context.Context, id, host string, action cuminstair.HostAction) error {
	path := "/hosts/" + url.PathEscape(host) + "/" + url.PathEscape(string(action))
	if _, err := c.post(ctx, path, map[string]string{"id": id}, true); err != nil {
		return fmt.Errorf("%s host %s: %w", action, host, err)
	}
	return nil
}

// Workers returns the workers. Error: ErrUnavailable.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	var out struct {
		Workers []Worker `json:"workers"`
	}
	if err := c.get(ctx, "/workers", &out); err != nil {
		return nil, fmt.Errorf("get worker list: %w", err)
	}
	return out.Workers, nil
}

// StartTask implements cuminstair.Tasks.
func (c *Client) StartTask(ctx context.Context, t cuminstair.Task) error {
	if _, err := c.post(ctx, "/tasks", t, true); err != nil {
		return fmt.Errorf("start task %s: %w", t.ID, err)
	}
	return nil
}

// ActTasks implements cuminstair.Tasks with one request.
func (c *Client) ActTasks(ctx context.Context, action cuminstair.TaskAction, ids []string) error {
	path := "/tasks/" + bulkID + "/" + url.PathEscape(string(action))
	if _, err := c.post(ctx, path, map[string][]string{"ids": ids}, true); err != nil {
		return fmt.Errorf("%s %d tasks: %w", action, len(ids), err)
	}
	return nil
}

// Usage implements cuminstair.Tasks.
func (c *Client) Usage(ctx context.Context, since uint64) ([]cuminstair.Usage, uint64, error) {
	var out struct {
		Reports []cuminstair.Usage `json:"reports"`
		Next    uint64             `json:"next"`
	}
	if err := c.get(ctx, "/usage?since="+strconv.FormatUint(since, 10), &out); err != nil {
		return nil, 0, fmt.Errorf("get usage reports: %w", err)
	}
	return out.Reports, out.Next, nil
}
