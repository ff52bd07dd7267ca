package main

import (
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

// Exit codes, for scripts. They are part of the interface and are listed in the help text.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitFaults
	exitConflict
	exitUnavailable
	exitMissing
	exitPending
	exitUncertain
)

// Errors of the command itself.
const (
	errUsage   = errors.ConstError("see the help")
	errPending = errors.ConstError("accepted, but not yet in force in every daemon")
)

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	if _, ok := errors.AsType[*cuminstair.FaultsError](err); ok {
		return exitFaults
	}
	for _, known := range []struct {
		err  error
		code int
	}{
		{fleet.ErrInvalid, exitFaults},
		{errUsage, exitUsage},
		{errPending, exitPending},
		{cuminstair.ErrConflict, exitConflict},
		{cuminstair.ErrUncertain, exitUncertain},
		{cuminstair.ErrUnavailable, exitUnavailable},
		{cuminstair.ErrNotFound, exitMissing},
	} {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return exitFailure
}
