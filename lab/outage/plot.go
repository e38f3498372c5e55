package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 10 * vg.Centimeter
	smoothing   = 5 // number of buckets per point, which is one second
	lineWidth   = 1.5
	legendShift = vg.Centimeter // keeps the legend above the line of a fleet that serves no requests
)

// savePlot plots the weight served over time, with one line per fleet, and saves the plot to a file.
func savePlot(file string, cfg config, fleets []*fleet) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d nodes lose power at %.0f s and return from %.0f s on, under %.0f times the load", cfg.nodes,
		outageAt.Seconds(), firstReturn.Seconds(), cfg.loadFactor)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "weight served, relative to before the outage"
	p.Legend.YOffs = legendShift
	for i, f := range fleets {
		line, err := plotter.NewLine(f.curve())
		if err != nil {
			return fmt.Errorf("plotting the line of %q: %w", strategyNames[i], err)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(lineWidth)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(strategyNames[i], line)
	}
	return p.Save(plotWidth, plotHeight, file)
}

// curve returns the weight served over time, relative to the weight served before the outage.
func (f *fleet) curve() plotter.XYs {
	before := 0.0
	for i, rate := range f.ratesBefore() {
		before += rate * handlers[i].weight
	}
	var points plotter.XYs
	for end := smoothing; end < int(simEnd/bucketWidth); end++ {
		sum := 0.0
		for i := range handlers {
			for k := end - smoothing; k < end; k++ {
				sum += f.served[i][k] * handlers[i].weight
			}
		}
		perSecond := sum / (smoothing * bucketWidth).Seconds()
		points = append(points, plotter.XY{X: (time.Duration(end) * bucketWidth).Seconds(), Y: perSecond / before})
	}
	return points
}
