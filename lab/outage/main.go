package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

func main() {
	boxes := flag.Int("boxes", 300, "in the fleet")
	never := flag.Float64("never", 0, "share of them that never comes back")
	times := flag.Float64("times", 10, "the load at the return, times the usual one")
	flood := flag.Duration("flood", 10*time.Second, "how long")
	seed := flag.Uint64("seed", 1, "of all chance")
	heeds := flag.Bool("heed", false, "callers heed the time that they are told")
	out := flag.String("plot", "", "a file for the plot, .png or .svg; empty: none")
	flag.Parse()
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d boxes lose power at 5 s and come back from 8 s on, under %.0f times the load", *boxes, *times)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "worth served, of before the loss"
	p.Legend.YOffs = vg.Centimeter // over the line of those that serve nothing
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "way\tuntil 0.9 of before, by handler\tworth in the first 10 s\tmessages a box\ttries a req")
	var fleets [noLimit + 1]*fleet
	var all sync.WaitGroup
	for i := range fleets { // each is its own world
		all.Go(func() {
			fleets[i] = play(config{boxes: *boxes, never: *never, times: *times, flood: *flood, way: way(i), seed: *seed, heeds: *heeds, witness: min(4, *boxes-1)})
		})
	}
	all.Wait()
	for i, f := range fleets {
		x := f.result()
		var until []string
		for h, d := range x.until {
			word := "never"
			if d > 0 {
				word = fmt.Sprintf("%.1f s", d.Seconds())
			}
			until = append(until, handlers[h].name+" "+word)
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.1f, %d at most\t%.1f\n", wayNames[i], strings.Join(until, ", "), x.first, x.mean, x.most, x.tries)
		line, err := plotter.NewLine(f.curve(x))
		if err != nil {
			log.Fatal(err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(wayNames[i], line)
	}
	if err := w.Flush(); err != nil {
		log.Fatal(err)
	}
	if *out != "" {
		if err := p.Save(18*vg.Centimeter, 10*vg.Centimeter, *out); err != nil {
			log.Fatal(err)
		}
	}
}

// curve is the worth served over time, of that before the loss.
func (f *fleet) curve(x result) plotter.XYs {
	before := 0.0
	for h, rate := range x.before {
		before += rate * handlers[h].worth
	}
	var out plotter.XYs
	const wide = 5 // buckets that are taken together: a second
	for i := wide; i < int(end/bucket); i++ {
		sum := 0.0
		for h := range handlers {
			for k := i - wide; k < i; k++ {
				sum += f.served[h][k] * handlers[h].worth
			}
		}
		out = append(out, plotter.XY{X: (time.Duration(i) * bucket).Seconds(), Y: sum / (wide * bucket).Seconds() / before})
	}
	return out
}
