package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/operator"
)

// fakeOperations returns fixed values; the methods that it does not define panic.
type fakeOperations struct {
	cuminstair.Operations
	applied []cuminstair.ApplyRequest
	err     error
}

func (f *fakeOperations) Apply(_ context.Context, a cuminstair.ApplyRequest) (cuminstair.ApplyResult, error) {
	f.applied = append(f.applied, a)
	return cuminstair.ApplyResult{Generation: a.Base + 1}, f.err
}

func (f *fakeOperations) Hosts(context.Context) ([]cuminstair.HostInfo, error) { return nil, f.err }

func (f *fakeOperations) ChangeHost(context.Context, string, string) error { return f.err }

func serve(t *testing.T, ops cuminstair.Operations) *operator.Client {
	t.Helper()
	srv := httptest.NewServer((&operator.Server{Operations: ops, Log: hclog.NewNullLogger()}).Handler())
	t.Cleanup(srv.Close)
	return &operator.Client{Servers: []string{srv.URL}, HTTP: srv.Client()}
}

// Guards against an error whose kind is lost between daemon and client, so that scripts can't tell a conflict from an
// outage.
func TestErrorsKeepTheirKind(t *testing.T) {
	for name, sent := range map[string]error{
		"conflict":    cuminstair.ErrConflict,
		"missing":     cuminstair.ErrNotFound,
		"unavailable": cuminstair.ErrUnavailable,
		"uncertain":   cuminstair.ErrUncertain,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := serve(t, &fakeOperations{err: sent})
			is.True(errors.Is(c.ChangeHost(context.Background(), "h1", "drain"), sent))
		})
	}
}

// Guards against a conflict error that reaches the client without its generations and differences.
func TestConflictNamesDifference(t *testing.T) {
	is := is.New(t)
	stale := &cuminstair.StaleError{Base: 3, Current: 5, Changes: []string{"pool scale: 1 host added"}}
	c := serve(t, &fakeOperations{err: stale})
	_, err := c.Apply(context.Background(), cuminstair.ApplyRequest{Base: 3})
	got, ok := errors.AsType[*cuminstair.StaleError](err)
	is.True(ok)
	is.Equal(got, stale)
}

// Guards against a client that receives only some of the faults of a file, or receives them without their details.
func TestFaultsArriveWhole(t *testing.T) {
	is := is.New(t)
	faults := &cuminstair.FaultsError{Faults: []cuminstair.Fault{
		{File: "fleet.jsonc", Line: 7, Field: "pools[0].name", Message: "is missing"},
		{File: "fleet.jsonc", Line: 9, Field: "hosts[2].pool", Message: `names the unknown pool "x"`},
	}}
	c := serve(t, &fakeOperations{err: faults})
	_, err := c.Apply(context.Background(), cuminstair.ApplyRequest{})
	got, ok := errors.AsType[*cuminstair.FaultsError](err)
	is.True(ok)
	is.Equal(got, faults)
}

// Guards against a change that is sent to a second daemon although the first one may have carried it out. The client may
// try the next daemon only if no connection to the first one was made.
func TestNextDaemonOnlyWithoutConnection(t *testing.T) {
	is := is.New(t)
	ops := &fakeOperations{}
	c := serve(t, ops)
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()

	live := c.Servers[0]
	c.Servers = []string{closed.URL, live}
	_, err := c.Apply(context.Background(), cuminstair.ApplyRequest{Base: 1})
	is.NoErr(err)
	is.Equal(len(ops.applied), 1)

	c.Servers = []string{broken.URL, live}
	_, err = c.Apply(context.Background(), cuminstair.ApplyRequest{Base: 1})
	is.True(errors.Is(err, cuminstair.ErrUncertain))
	is.Equal(len(ops.applied), 1)
}

// Guards against unclear responses to malformed requests and against null in place of an empty list.
func TestMalformedRequests(t *testing.T) {
	is := is.New(t)
	c := serve(t, &fakeOperations{})
	err := c.ChangeHost(context.Background(), "h1", "explode")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "[drain hold resume]"))

	resp, err := c.HTTP.Post(c.Servers[0]+"/fleet", "application/json", strings.NewReader("{"))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.NoErr(resp.Body.Close())

	// curl sends another content type by default; its body must not be treated as empty.
	resp, err = c.HTTP.Post(c.Servers[0]+"/fleet", "application/x-www-form-urlencoded", strings.NewReader(`{"base": 7}`))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	var accepted cuminstair.ApplyResult
	is.NoErr(json.NewDecoder(resp.Body).Decode(&accepted))
	is.Equal(accepted.Generation, uint64(8))
	is.NoErr(resp.Body.Close())

	rows, err := c.Hosts(context.Background())
	is.NoErr(err)
	is.True(rows != nil)
}
