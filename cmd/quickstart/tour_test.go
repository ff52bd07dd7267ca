package main

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a quick start whose steps don't work: apply, serve, explain, repeat under a ticket, refuse, hand over.
func TestTour(t *testing.T) {
	is := is.New(t)
	is.NoErr(run(context.Background()))
}
