package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// minPing is the shortest timeout of a GET /health on an unused connection. It is also how long reuse waits at most
// for an upstream to close its end of a connection that can't be reused. It allows 50 round trips between two data
// centres.
const minPing = 100 * time.Millisecond

// maxShortBody is the maximum size of the body of an answer to GET /health, in bytes. It also limits how much of the
// body of a refusal is read.
const maxShortBody = 4096

// healthState is an upstream's answer to GET /health.
type healthState struct {
	leaving bool
	inUse   int // requests received and not answered yet; -1 if the upstream does not say
}

var healthRequest = []byte("GET /health HTTP/1.1\r\nHost: upstream\r\n\r\n")

// check sends GET /health on a new connection.
func (p *pool) check(ctx context.Context) (healthState, error) {
	c, err := dial(ctx, p.sender.Timer, p.addr)
	if err != nil {
		return healthState{}, err
	}
	defer c.close()
	return p.ping(ctx, c, DialTimeout)
}

// ping sends GET /health on an existing connection. The connection can be used again if the error is nil.
func (p *pool) ping(ctx context.Context, c *conn, limit time.Duration) (healthState, error) {
	stopTimer := p.sender.Timer.After(limit, func(time.Time) { c.abort() })
	defer stopTimer()
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	h, err := c.health()
	if err != nil {
		return h, fmt.Errorf("check upstream: %w", err)
	}
	if !stop() || !stopTimer() {
		return h, errors.New("check upstream: timed out or cancelled")
	}
	c.sent = 0
	return h, nil
}

func (c *conn) health() (healthState, error) {
	if _, err := c.Write(healthRequest); err != nil {
		return healthState{}, err
	}
	return readHealth(c.br)
}

func readHealth(br *bufio.Reader) (healthState, error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return healthState{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxShortBody+1))
	if err != nil {
		return healthState{}, err
	}
	if resp.StatusCode != http.StatusOK || resp.Close || len(body) > maxShortBody {
		return healthState{}, errors.Errorf("status %d", resp.StatusCode)
	}
	reported := struct {
		State string `json:"state"`
		Used  *int   `json:"used"`
	}{}
	if err := json.Unmarshal(body, &reported); err != nil {
		return healthState{}, err
	}
	h := healthState{leaving: reported.State == "leaving" || resp.Header.Get("Leaving") == "1", inUse: -1}
	if reported.Used != nil && *reported.Used >= 0 {
		h.inUse = *reported.Used
	}
	return h, nil
}
