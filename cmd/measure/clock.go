package main

import (
	"time"

	"cuminstair.org/cuminstair/timer"
)

// clock is the only source of wall-clock figures.
var clock = timer.New()

// epoch is when virtual time starts.
var epoch = time.Unix(1e6, 0)
