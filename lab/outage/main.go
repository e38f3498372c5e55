// Command outage simulates the return of a fleet after a loss of power: many nodes in one process, from a seed. The overload controller and the
// recovery state machine are those of the product; processors, clients and the network are simple models. It compares strategies of coming
// back, prints a table and plots the service over time.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

func main() {
	var cfg config
	flag.IntVar(&cfg.nodes, "boxes", 300, "nodes of the fleet")
	flag.Float64Var(&cfg.lost, "never", 0, "share of the nodes that never come back")
	flag.Float64Var(&cfg.loadFactor, "times", 10, "load after the outage, as a multiple of the load before")
	flag.DurationVar(&cfg.floodFor, "flood", 10*time.Second, "how long the load is that high")
	flag.Uint64Var(&cfg.seed, "seed", 1, "seed of all random choices")
	flag.BoolVar(&cfg.honorRetryAfter, "heed", false, "rejected clients wait as long as they are told")
	plotFile := flag.String("plot", "", "file for the plot, .png or .svg; empty: none")
	flag.Parse()
	cfg.witnesses = min(4, cfg.nodes-1)

	fleets := simulateAll(cfg)
	if err := writeReport(os.Stdout, fleets); err != nil {
		log.Fatal(fmt.Errorf("writing the report: %w", err))
	}
	if *plotFile != "" {
		if err := savePlot(*plotFile, cfg, fleets); err != nil {
			log.Fatal(fmt.Errorf("plotting: %w", err))
		}
	}
}

// simulateAll runs a fleet of each strategy, all at the same time.
func simulateAll(cfg config) []*fleet {
	fleets := make([]*fleet, strategyCount)
	var running sync.WaitGroup
	for i := range fleets {
		running.Go(func() {
			own := cfg
			own.strategy = strategy(i)
			fleets[i] = simulate(own)
		})
	}
	running.Wait()
	return fleets
}

// writeReport prints a row for each strategy. The words are those of the tables in docs/notes.
func writeReport(out io.Writer, fleets []*fleet) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := "way\tuntil 0.9 of before, by handler\tworth in the first 10 s\tmessages a box\ttries a req"
	if _, err := fmt.Fprintln(w, header); err != nil {
		return err
	}
	for i, f := range fleets {
		r := f.result()
		_, err := fmt.Fprintf(w, "%s\t%s\t%.2f\t%.1f, %d at most\t%.1f\n", strategyNames[i], formatRecoveryTimes(r.recoveryTimes), r.firstSeconds,
			r.meanMessages, r.maxMessages, r.attempts)
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

// formatRecoveryTimes lists the times of the handlers.
func formatRecoveryTimes(times []time.Duration) string {
	var words []string
	for i, recoveryTime := range times {
		word := "never"
		if recoveryTime > 0 {
			word = fmt.Sprintf("%.1f s", recoveryTime.Seconds())
		}
		words = append(words, handlers[i].name+" "+word)
	}
	return strings.Join(words, ", ")
}
