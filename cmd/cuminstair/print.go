package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"cuminstair.org/cuminstair"
)

// column is one column of a table whose rows are of type T.
type column[T any] struct {
	head string
	cell func(T) string
}

var daemonColumns = []column[cuminstair.DaemonStatus]{
	{"NAME", func(r cuminstair.DaemonStatus) string { return r.Name }},
	{"CENTRE", func(r cuminstair.DaemonStatus) string { return r.Centre }},
	{"STATE", func(r cuminstair.DaemonStatus) string { return r.State }},
	{"GENERATION", func(r cuminstair.DaemonStatus) string { return strconv.FormatUint(r.Generation, 10) }},
	{"AGE", func(r cuminstair.DaemonStatus) string { return r.Age.String() }},
}

var poolColumns = []column[cuminstair.PoolStatus]{
	{"NAME", func(r cuminstair.PoolStatus) string { return r.Name }},
	{"CENTRE", func(r cuminstair.PoolStatus) string { return r.Centre }},
	{"DECLARED", func(r cuminstair.PoolStatus) string { return strconv.Itoa(r.Declared) }},
	{"HOSTS", func(r cuminstair.PoolStatus) string { return strconv.Itoa(r.Hosts) }},
	{"ACTIVE", func(r cuminstair.PoolStatus) string { return strconv.Itoa(r.Active) }},
	{"INFLIGHT", func(r cuminstair.PoolStatus) string { return strconv.Itoa(r.Inflight) }},
	{"QUEUED", func(r cuminstair.PoolStatus) string { return strconv.Itoa(r.Queued) }},
}

var hostColumns = []column[cuminstair.HostInfo]{
	{"NAME", func(r cuminstair.HostInfo) string { return r.Name }},
	{"CENTRE", func(r cuminstair.HostInfo) string { return r.Centre }},
	{"RACK", func(r cuminstair.HostInfo) string { return r.Rack }},
	{"POOL", func(r cuminstair.HostInfo) string { return r.Pool }},
	{"STATE", func(r cuminstair.HostInfo) string { return string(r.State) }},
	{"HEALTH", func(r cuminstair.HostInfo) string { return string(r.Health) }},
	{"INFLIGHT", func(r cuminstair.HostInfo) string { return strconv.Itoa(r.Inflight) }},
	{"REASON", func(r cuminstair.HostInfo) string { return r.Reason }},
}

var waveColumns = []column[cuminstair.WaveStatus]{
	{"NAME", func(r cuminstair.WaveStatus) string { return r.Name }},
	{"CENTRE", func(r cuminstair.WaveStatus) string { return r.Centre }},
	{"STATE", func(r cuminstair.WaveStatus) string { return r.State }},
	{"DONE", func(r cuminstair.WaveStatus) string { return fmt.Sprintf("%d/%d", r.Done, r.Total) }},
	{"STEP", func(r cuminstair.WaveStatus) string { return strconv.Itoa(r.Step) }},
	{"FAILED", func(r cuminstair.WaveStatus) string { return strconv.Itoa(r.Failed) }},
	{"MESSAGE", func(r cuminstair.WaveStatus) string { return r.Message }},
}

var budgetColumns = []column[cuminstair.BudgetStatus]{
	{"SERVICE", func(r cuminstair.BudgetStatus) string { return r.Service }},
	{"CENTRE", func(r cuminstair.BudgetStatus) string { return r.Centre }},
	{"DECLARED", func(r cuminstair.BudgetStatus) string { return strconv.Itoa(r.Declared) }},
	{"DOWN", func(r cuminstair.BudgetStatus) string { return strconv.Itoa(r.Down) }},
	{"ALLOWED", func(r cuminstair.BudgetStatus) string { return strconv.Itoa(r.Allowed) }},
	{"RESERVE", func(r cuminstair.BudgetStatus) string { return strconv.Itoa(r.Reserve) }},
	{"ROOM", func(r cuminstair.BudgetStatus) string { return strconv.Itoa(r.Room) }},
}

var jobColumns = []column[cuminstair.JobStatus]{
	{"ID", func(r cuminstair.JobStatus) string { return r.ID }},
	{"TEAM", func(r cuminstair.JobStatus) string { return r.Team }},
	{"STATE", func(r cuminstair.JobStatus) string { return r.State }},
	{"WORKER", func(r cuminstair.JobStatus) string { return r.Worker }},
	{"FAILS", func(r cuminstair.JobStatus) string { return strconv.Itoa(r.Fails) }},
	{"REASON", func(r cuminstair.JobStatus) string { return r.Reason }},
}

func printRows[T any](w io.Writer, o *options, cols []column[T], rows []T) error {
	if o.json {
		return printJSON(w, rows)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	cells := make([]string, len(cols))
	for i, col := range cols {
		cells[i] = col.head
	}
	fmt.Fprintln(tw, strings.Join(cells, "\t"))
	for _, row := range rows {
		for i, col := range cols {
			cells[i] = col.cell(row)
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print the answer: %w", err)
	}
	return nil
}

func printLines(w io.Writer, o *options, lines []string) error {
	if o.json {
		return printJSON(w, lines)
	}
	if len(lines) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
	return nil
}

func printAccepted(w io.Writer, a cuminstair.ApplyResult) {
	if a.Repeat {
		fmt.Fprintf(w, "accepted before as generation %d\n", a.Generation)
		return
	}
	fmt.Fprintf(w, "accepted as generation %d\n", a.Generation)
	for _, change := range a.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
}

func printForce(w io.Writer, o *options, a cuminstair.ApplyResult, f cuminstair.ForceStatus) error {
	if o.json {
		return printJSON(w, struct {
			Accepted cuminstair.ApplyResult `json:"accepted"`
			Force    cuminstair.ForceStatus `json:"force"`
		}{a, f})
	}
	fmt.Fprintf(w, "in force in %d of %d daemons\n", len(f.Confirmed), len(f.Confirmed)+len(f.Missing))
	return nil
}

func printExplanation(w io.Writer, o *options, e cuminstair.Explanation) error {
	if o.json {
		return printJSON(w, e)
	}
	fmt.Fprintf(w, "%s %s: %s\n", e.Kind, e.ID, e.Summary)
	for _, d := range e.Decisions {
		fmt.Fprintf(w, "  %s  %s: %s (%s) %s\n", d.At.Format("15:04:05.000"), d.Part, d.Choice, d.Reason, d.Detail)
	}
	return nil
}
