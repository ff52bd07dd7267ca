package main

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a step of the quick start that fails: apply, serve, explain, repeat under a ticket, refuse an unknown
// kind, and repeat after the daemon that issued the ticket and keeps its outcome has stopped.
func TestTour(t *testing.T) {
	is := is.New(t)
	is.NoErr(run(context.Background()))
}
