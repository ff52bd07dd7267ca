package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cuminstair.org/cuminstair/experiment"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// writePlot writes a plot of what the jobs of each window earn, with a line for each policy.
func writePlot(file string, l *experiment.Load, byPolicy [][]experiment.Result) error {
	p := plot.New()
	p.Title.Text = l.Name
	p.X.Label.Text = "submitted at, s"
	p.Y.Label.Text = "earned of the value"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for n, days := range byPolicy {
		points := make(plotter.XYs, len(days[0].Windows))
		for i := range points {
			points[i].X = days[0].Windows[i].From
			points[i].Y = mean(days, func(r *experiment.Result) float64 { return r.Windows[i].Earned })
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot policy %s: %w", days[0].Policy, err)
		}
		line.Color, line.Dashes = plotutil.Color(n), plotutil.Dashes(n)
		p.Add(line)
		p.Legend.Add(days[0].Policy, line)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	return nil
}
