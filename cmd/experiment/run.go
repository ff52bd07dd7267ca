package main

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/experiment"
)

func run(c *cli.Context) error {
	o, err := parseOptions(c)
	if err != nil {
		return err
	}
	for _, l := range o.loads {
		byPolicy, err := playAll(l, o)
		if err != nil {
			return err
		}
		if err := o.print(c.App.Writer, l, byPolicy); err != nil {
			return err
		}
	}
	return nil
}

// playAll plays all days of a load with each policy.
func playAll(l *experiment.Load, o *options) ([][]experiment.Result, error) {
	var byPolicy [][]experiment.Result
	for _, p := range o.policies {
		var days []experiment.Result
		for n := range o.days {
			r, err := experiment.Play(l, p, o.seed+uint64(n))
			if err != nil {
				return nil, fmt.Errorf("policy %s: %w", p.Name, err)
			}
			days = append(days, r)
		}
		byPolicy = append(byPolicy, days)
	}
	return byPolicy, nil
}

func (o *options) print(out io.Writer, l *experiment.Load, byPolicy [][]experiment.Result) error {
	if o.svg != "" {
		if err := writePlot(o.svg, l, byPolicy); err != nil {
			return err
		}
	}
	if o.json {
		enc := json.NewEncoder(out)
		enc.SetIndent("", " ")
		for _, days := range byPolicy {
			if err := enc.Encode(days); err != nil {
				return fmt.Errorf("write results: %w", err)
			}
		}
		return nil
	}
	fmt.Fprintf(out, "%s, seeds %d to %d, %.0f s, mean of the days\n", l.Name, o.seed, o.seed+uint64(o.days)-1, l.Seconds)
	printTable(out, byPolicy)
	if o.windows {
		printWindows(out, byPolicy)
	}
	return nil
}

// figure is a line of the table.
type figure struct {
	name   string
	format string
	value  func(r *experiment.Result) float64
}

var figures = []figure{
	{"jobs", "%.0f", func(r *experiment.Result) float64 { return float64(r.Jobs) }},
	{"earned of the value", "%.3f", func(r *experiment.Result) float64 { return r.Earned }},
	{"on time", "%.3f", func(r *experiment.Result) float64 { return r.OnTime }},
	{"late", "%.3f", func(r *experiment.Result) float64 { return r.Late }},
	{"not served", "%.3f", func(r *experiment.Result) float64 { return r.Unserved }},
	{"refusals, early", "%.1f", func(r *experiment.Result) float64 { return float64(r.RefusedEarly) }},
	{"refusals, late", "%.1f", func(r *experiment.Result) float64 { return float64(r.RefusedLate) }},
	{"refusals with room free", "%.1f", func(r *experiment.Result) float64 { return float64(r.RoomFree) }},
	{"worst 2 s, earned", "%.3f", func(r *experiment.Result) float64 { return r.Worst.Earned }},
	{"second worst 2 s, earned", "%.3f", func(r *experiment.Result) float64 { return r.SecondWorst.Earned }},
	{"rise of turns, earned", "%.3f", func(r *experiment.Result) float64 { return r.TurnStarts }},
	{"worst queue, earned", "%.3f", func(r *experiment.Result) float64 { return r.WorstEarned }},
	{"first start, median ms", "%.0f", func(r *experiment.Result) float64 { return 1000 * r.FirstStart50 }},
	{"first start, 95 of 100, ms", "%.0f", func(r *experiment.Result) float64 { return 1000 * r.FirstStart95 }},
	{"wasted core-seconds", "%.1f", func(r *experiment.Result) float64 { return r.Wasted }},
	{"used core-seconds", "%.0f", func(r *experiment.Result) float64 { return r.UsedCores }},
	{"host-seconds in pools", "%.0f", func(r *experiment.Result) float64 { return r.HostSeconds }},
	{"host core-seconds a used one", "%.2f", func(r *experiment.Result) float64 { return r.HostRatio }},
	{"moves", "%.1f", func(r *experiment.Result) float64 { return float64(r.Moves) }},
	{"broken starts", "%.0f", func(r *experiment.Result) float64 { return float64(r.Broken) }},
	{"host-seconds: used", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.Used }},
	{"- memory in use, processors not", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.Memory }},
	{"- beside short tasks", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.BesideTasks }},
	{"- beside long-running tasks", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.BesideLasting }},
	{"- idle 2.5 s before a turn", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.IdleBefore }},
	{"- idle in a turn", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.IdleIn }},
	{"- idle otherwise", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.IdleAfter }},
	{"- moving", "%.0f", func(r *experiment.Result) float64 { return r.HostTime.Moving }},
}

func mean(days []experiment.Result, value func(r *experiment.Result) float64) float64 {
	sum := 0.0
	for i := range days {
		sum += value(&days[i])
	}
	return sum / float64(len(days))
}

// printTable prints one column for each policy.
func printTable(out io.Writer, byPolicy [][]experiment.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, cell func(days []experiment.Result) string) {
		fmt.Fprintf(w, "%s\t", name)
		for _, days := range byPolicy {
			fmt.Fprintf(w, "%s\t", cell(days))
		}
		fmt.Fprintln(w)
	}
	row("", func(days []experiment.Result) string { return days[0].Policy })
	for _, f := range figures {
		row(f.name, func(days []experiment.Result) string { return fmt.Sprintf(f.format, mean(days, f.value)) })
	}
	row("worst queue of the first day", func(days []experiment.Result) string { return days[0].WorstQueue })
	printLosses(row, "lost", byPolicy, func(r *experiment.Result) map[string]float64 { return r.Lost })
	printLosses(row, "lost in the rise", byPolicy, func(r *experiment.Result) map[string]float64 { return r.LostStarts })
	printLosses(row, "lost in the worst two 2 s", byPolicy, func(r *experiment.Result) map[string]float64 { return r.LostWorst })
	// The writer of a command never fails.
	_ = w.Flush()
}

// printLosses prints a line for each cause of a loss.
func printLosses(row func(string, func([]experiment.Result) string), title string, byPolicy [][]experiment.Result,
	lost func(r *experiment.Result) map[string]float64,
) {
	causes := map[string]bool{}
	for _, days := range byPolicy {
		for i := range days {
			for cause := range lost(&days[i]) {
				causes[cause] = true
			}
		}
	}
	names := make([]string, 0, len(causes))
	for cause := range causes {
		names = append(names, cause)
	}
	sort.Strings(names)
	for _, cause := range names {
		row(title+": "+cause, func(days []experiment.Result) string {
			return fmt.Sprintf("%.4f", mean(days, func(r *experiment.Result) float64 { return lost(r)[cause] }))
		})
	}
}

// printWindows prints what the jobs of each window earn.
func printWindows(out io.Writer, byPolicy [][]experiment.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for i := range byPolicy[0][0].Windows {
		fmt.Fprintf(w, "from %.0f s\t", byPolicy[0][0].Windows[i].From)
		for _, days := range byPolicy {
			fmt.Fprintf(w, "%.3f\t", mean(days, func(r *experiment.Result) float64 { return r.Windows[i].Earned }))
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

func listPolicies(c *cli.Context) error {
	for _, p := range experiment.Policies() {
		fmt.Fprintf(c.App.Writer, "%-12s %s\n", p.Name, p.Usage)
	}
	return nil
}
