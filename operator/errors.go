package operator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// transportError returns errNotSent if no connection was made, so that the next daemon can be tried. If the connection
// broke later, a change may have taken effect: the error is ErrUncertain, or for a GET ErrUnavailable.
func transportError(target, method string, err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return fmt.Errorf("%s: %w: %w", target, err, errNotSent)
	}
	if method == http.MethodGet {
		return fmt.Errorf("request to %s: %w: %w", target, err, cuminstair.ErrUnavailable)
	}
	return fmt.Errorf("request to %s: %w: %w", target, err, cuminstair.ErrUncertain)
}

// decodeFailure returns the error that the body of a response describes.
func decodeFailure(status int, data []byte) error {
	var f Failure
	if err := json.Unmarshal(data, &f); err != nil || f.Code == "" {
		return fmt.Errorf("the daemon responded with status %d", status)
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

// remoteError is an error from the daemon. text already includes the text of kind.
type remoteError struct {
	text string
	kind error
}

// Error returns the text that the daemon sent.
func (e *remoteError) Error() string { return e.text }

// Unwrap returns the kind of the error.
func (e *remoteError) Unwrap() error { return e.kind }
