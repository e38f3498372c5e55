// Command outage simulates the recovery of a fleet after a power outage: many nodes in one process, with random numbers from a seed. It
// uses the packages overload and recovery of the product; processors, clients and the network are simple models. It compares recovery
// strategies, prints a table and optionally plots the service over time.
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
	flag.IntVar(&cfg.nodes, "boxes", 300, "number of nodes of the fleet")
	flag.Float64Var(&cfg.lostShare, "never", 0, "share of the nodes that never return")
	flag.Float64Var(&cfg.loadFactor, "times", 10, "load after the outage, as a multiple of the load before")
	flag.DurationVar(&cfg.overloadDuration, "flood", 10*time.Second, "duration of the increased load")
	flag.Uint64Var(&cfg.seed, "seed", 1, "seed of the random numbers")
	flag.BoolVar(&cfg.honorRetryAfter, "heed", false, "rejected clients wait for at least the node's Retry-After")
	plotFile := flag.String("plot", "", "file of the plot, .png or .svg; empty: no plot")
	flag.Parse()
	cfg.peersPerNode = min(4, cfg.nodes-1)

	fleets := simulateAll(cfg)
	if err := writeReport(os.Stdout, fleets); err != nil {
		log.Fatal(fmt.Errorf("writing the report: %w", err))
	}
	if *plotFile != "" {
		if err := savePlot(*plotFile, cfg, fleets); err != nil {
			log.Fatal(fmt.Errorf("saving the plot: %w", err))
		}
	}
}

// simulateAll simulates one fleet per strategy, all concurrently.
func simulateAll(cfg config) []*fleet {
	fleets := make([]*fleet, strategyCount)
	var running sync.WaitGroup
	for i := range fleets {
		running.Go(func() {
			strategyCfg := cfg
			strategyCfg.strategy = strategy(i)
			fleets[i] = simulate(strategyCfg)
		})
	}
	running.Wait()
	return fleets
}

// writeReport prints a row for each strategy. Its words match those of the tables in docs/notes.
func writeReport(out io.Writer, fleets []*fleet) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := "way\tuntil 0.9 of before, by handler\tworth in the first 10 s\tmessages a box\ttries a req"
	if _, err := fmt.Fprintln(w, header); err != nil {
		return err
	}
	for i, f := range fleets {
		r := f.result()
		_, err := fmt.Fprintf(w, "%s\t%s\t%.2f\t%.1f, %d at most\t%.1f\n", strategyNames[i], formatRecoveryTimes(r.recoveryTimes), r.earlyService,
			r.meanMessages, r.maxMessages, r.attempts)
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

// formatRecoveryTimes returns the recovery times by handler as one line of text.
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
