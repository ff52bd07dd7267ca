package operator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// notSent tells a connection that was not made, where the next daemon may be asked, from one that broke later, where a
// change may have been carried out.
func notSent(target, method string, err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return fmt.Errorf("%s: %w: %w", target, err, errNotSent)
	}
	if method == http.MethodGet {
		return fmt.Errorf("ask %s: %w: %w", target, err, cuminstair.ErrUnavailable)
	}
	return fmt.Errorf("ask %s: %w: %w", target, err, cuminstair.ErrUncertain)
}

// failure turns the body of an answer back into the error that the daemon had.
func failure(status int, data []byte) error {
	var f Failure
	if err := json.Unmarshal(data, &f); err != nil || f.Code == "" {
		return fmt.Errorf("the daemon answered with status %d", status)
	}
	switch f.Code {
	case CodeFaults:
		return &cuminstair.FaultsError{Faults: f.Faults}
	case CodeConflict:
		if f.Current > 0 || f.Base > 0 {
			return &cuminstair.StaleError{Base: f.Base, Current: f.Current, Changes: f.Changes}
		}
		return &remoteError{text: f.Error, kind: cuminstair.ErrConflict}
	case CodeMissing:
		return &remoteError{text: f.Error, kind: cuminstair.ErrNotFound}
	case CodeUncertain:
		return &remoteError{text: f.Error, kind: cuminstair.ErrUncertain}
	case CodeUnavailable:
		return &remoteError{text: f.Error, kind: cuminstair.ErrUnavailable}
	default:
		return errors.New(f.Error)
	}
}

// remoteError is an error of the daemon. Its text names the kind already.
type remoteError struct {
	text string
	kind error
}

// Error returns the text that the daemon sent.
func (e *remoteError) Error() string { return e.text }

// Unwrap returns the kind of the error.
func (e *remoteError) Unwrap() error { return e.kind }
