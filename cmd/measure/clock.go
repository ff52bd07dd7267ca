package main

import (
	"time"

	"cuminstair.org/cuminstair/timer"
)

// clock is the machine's clock. All wall-clock figures are timed with it.
var clock = timer.New()

// epoch is the start of virtual time.
var epoch = time.Unix(1e6, 0)
