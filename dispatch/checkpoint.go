package dispatch

// endPercent ranks a checkpoint that came with the end of a run above those that the run was listed with.
const endPercent = 101

// gangCheckpoint is the newest known checkpoint of a gang. The value of any member is valid for the gang, and all members of a
// run have to start from the same one.
type gangCheckpoint struct {
	Value   string `json:"c"`
	Run     int64  `json:"r"` // run that produced it
	Percent int    `json:"p"` // progress of the member when it was listed, or endPercent
}

// olderThan reports whether c was produced before o, as far as runs and progress tell.
func (c gangCheckpoint) olderThan(o gangCheckpoint) bool {
	if c.Run != o.Run {
		return c.Run < o.Run
	}
	return c.Percent < o.Percent
}

// savedBy records a checkpoint of the task that a run has produced. percent is the progress of the run.
func (t *task) savedBy(run int64, percent int, value string) {
	if value == "" {
		return
	}
	if !t.step.Gang {
		t.checkpoint = value
		return
	}
	if c := (gangCheckpoint{Value: value, Run: run, Percent: percent}); !c.olderThan(t.step.saved) {
		t.step.saved = c
	}
}

// startFrom returns the checkpoint from which the next run of the task starts; empty: from the beginning.
func (t *task) startFrom() string {
	if t.step.Gang {
		return t.step.saved.Value
	}
	return t.checkpoint
}
