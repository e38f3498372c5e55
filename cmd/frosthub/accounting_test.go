package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"frosthub/accounting"
	"frosthub/internal/fake"
	"frosthub/internal/statsfile"
)

var (
	killCount  = flag.Int("kills", 24, "number of kills under load; 300 outside CI")
	drainCount = flag.Int("drains", 20, "number of drains under load; 300 outside CI")
)

// ledgerEntry is what a node's ledger says of a request.
type ledgerEntry struct {
	sent, closed bool
	uncertain    bool
	reason       accounting.Reason // of the response or the close
}

// readLedger reads the entries of the last incarnation from an accounting file.
func readLedger(t *testing.T, path string) (map[uint64]ledgerEntry, *accounting.Ledger) {
	ledger, data, err := statsfile.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	changes, err := statsfile.RecentEntries(data)
	if err != nil {
		t.Fatal(err)
	}
	slots, entries := map[uint32]uint64{}, map[uint64]ledgerEntry{}
	for _, change := range changes {
		id := slots[change.Slot]
		entry := entries[id]
		switch change.Kind {
		case accounting.EntryOpen:
			if _, duplicate := entries[change.ID]; duplicate && change.ID != 0 {
				t.Errorf("%016x is entered twice", change.ID)
			}
			slots[change.Slot] = change.ID
			entries[change.ID] = ledgerEntry{}
			continue
		case accounting.EntryAnswer:
			entry.reason = change.Reason
		case accounting.EntrySent:
			entry.sent = true
		case accounting.EntryClose:
			entry.closed, entry.reason = true, change.Reason
		default:
			continue
		}
		entries[id] = entry
	}
	return entries, ledger
}

// consistent reports whether a ledger entry agrees with the outcome that the edge node saw. entered is whether the ledger has one.
func consistent(outcome fake.Outcome, entry ledgerEntry, entered bool) bool {
	var want accounting.Category
	switch outcome {
	case fake.Served:
		want = accounting.Served
	case fake.Rejected:
		want = accounting.Rejected
	case fake.Failed:
		want = accounting.Failed
	case fake.Aborted:
		return entry.closed && entry.reason == accounting.Aborted
	case fake.Sent, fake.NotSent: // no response: never entered, or closed without one
		return !entered || !entry.sent
	default:
		return false
	}
	return entered && (entry.sent || entry.uncertain) && entry.reason.Category() == want
}

// TestKillsAndDrains kills and drains nodes under load and compares their ledgers with the edge nodes' tallies, request by request and in total.
func TestKillsAndDrains(t *testing.T) {
	const nodes = 4
	for i := range nodes {
		t.Run(fmt.Sprint("node ", i), func(t *testing.T) {
			t.Parallel()
			killsAndDrains(t, (*killCount+nodes-1-i)/nodes, (*drainCount+nodes-1-i)/nodes, uint64(i))
		})
	}
}

// killsAndDrains runs one node of TestKillsAndDrains.
func killsAndDrains(t *testing.T, kills, drains int, seed uint64) {
	node := newTestNode(t, 2, constantWork(2*time.Millisecond), "ajp listen FRONT\nfigures file FIGURES\nfigures trail 65536\n"+
		"figures periods 60 every 1s\nfigures customers 8\n")
	processor, process, path, ajpAddress := node.processor, node.process, node.accountingPath, node.ajpAddress
	fastcgiLoad := fake.EdgeLoad{
		Address: process.Listen, Conns: 6, Interval: 6 * time.Millisecond, Slots: 24, Callers: 20,
		Handlers: []string{"status", "field-update", "file-claim"}, Abort: 0.05, Close: 0.02, Bad: 0.02, Body: "a field",
	}
	ajpLoad := fake.OpenLoad{Rate: 250, Handlers: fastcgiLoad.Handlers, CostMS: 2, Target: time.Second, Timeout: 3 * time.Second, Body: "a field"}
	random := rand.New(rand.NewPCG(seed, 7))
	var totals accounting.Counts // by the edge nodes' tallies
	var uncertain, maxUncertain, incarnations int
	settlements := strings.Builder{}
	for left := kills + drains; left > 0; left-- {
		var err error
		kill := random.IntN(left) < kills
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		incarnations++
		tally := fake.NewTally()
		ctx, stop := context.WithCancel(t.Context())
		loaded, seeds := make(chan struct{}), [2]uint64{random.Uint64(), random.Uint64()}
		go func() {
			var both sync.WaitGroup
			both.Go(func() { fastcgiLoad.Run(ctx, tally, seeds[0]) })
			both.Go(func() {
				ajpClient := fake.NewAJPClient(ajpAddress)
				defer ajpClient.Close()
				ajpLoad.Run(ctx, seeds[1], tally, func(uint64) fake.Client { return ajpClient })
			})
			both.Wait()
			close(loaded)
		}()
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		if kill {
			kills--
			err = process.Kill()
		} else {
			err = process.Drain()
		}
		if err != nil {
			t.Fatal(err, process.Log())
		}
		stop()
		<-loaded
		entries, ledger := readLedger(t, path)
		if kill {
			ledger.CloseAll(accounting.OpenAtKill, accounting.Killed)
		}
		incarnationList, _, _ := ledger.Incarnations()
		incarnation := incarnationList[len(incarnationList)-1]
		for _, id := range incarnation.UncertainIDs {
			entry := entries[id]
			entry.uncertain = true
			entries[id] = entry
		}
		uncertain, maxUncertain = uncertain+len(incarnation.UncertainIDs), max(maxUncertain, len(incarnation.UncertainIDs))
		outcomes := tally.All()
		var expected accounting.Counts // of this incarnation, by the tally
		for id, outcome := range outcomes {
			entry, entered := entries[id]
			if !consistent(outcome, entry, entered) {
				t.Errorf("incarnation %d: %016x is %s for the edge node, %+v in the ledger (%v)", incarnations, id, outcome, entry, entered)
			}
			if !entered {
				continue
			}
			expected.Received++
			switch outcome {
			case fake.Served:
				expected.Served++
			case fake.Rejected:
				expected.Rejected++
			default:
				expected.Failed++
			}
			if entry.uncertain {
				word := map[fake.Outcome]string{fake.Served: "served", fake.Rejected: "refused"}[outcome]
				if word == "" {
					word = "failed"
				}
				fmt.Fprintf(&settlements, "%016x %s\n", id, word)
			}
		}
		for id := range entries {
			if _, asked := outcomes[id]; !asked {
				t.Errorf("incarnation %d: %016x was never sent", incarnations, id)
			}
		}
		for id, n := range processor.Runs() {
			if n > 1 {
				t.Errorf("%016x ran %d times", id, n)
			}
		}
		processor.Reset()
		recorded := incarnation.Counts
		for _, id := range incarnation.UncertainIDs {
			switch outcomes[id] {
			case fake.Served:
				recorded = recorded.Reclassified(accounting.Served)
			case fake.Rejected:
				recorded = recorded.Reclassified(accounting.Rejected)
			}
		}
		if recorded != expected {
			t.Errorf("incarnation %d: the node has %+v, the edge nodes %+v", incarnations, recorded, expected)
		}
		totals = totals.Plus(expected)
	}
	t.Logf("%d incarnations, %+v; unknown outcomes %d, %d an incarnation at most", incarnations, totals, uncertain, maxUncertain)
	if totals.Served < int64(20*incarnations) || totals.Failed == 0 {
		t.Error("too few requests were sent to prove anything")
	}
	if incarnations > 50 {
		return // requests of early incarnations are no longer reported one by one
	}
	tally := filepath.Join(process.Dir, "tally")
	if err := os.WriteFile(tally, []byte(settlements.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(binary, "figures", "--json", "--tally", tally, path).Output()
	if err != nil {
		t.Fatal(err, string(out))
	}
	var reported []struct {
		Report    accounting.Report
		DoubtIDs  []string `json:"doubt_ids"`
		Different string   `json:"difference"`
	}
	if err := json.Unmarshal(out, &reported); err != nil {
		t.Fatal(err)
	}
	if reported[0].Report.Total != totals || len(reported[0].DoubtIDs) > 0 || reported[0].Different != "" {
		t.Errorf("the report says %+v, unknown outcomes %v, %q; the edge nodes %+v", reported[0].Report.Total, reported[0].DoubtIDs, reported[0].Different, totals)
	}
}

var (
	costPairs   = flag.Int("pairs", 0, "pairs of runs that measure the cost of accounting")
	edgeCallers = flag.Int("callers", 20, "edge nodes that send requests in these runs")
	baseline    = flag.String("baseline", "", "a program to compare with, instead of this one without accounting")
	bare        = flag.Bool("bare", false, "run this program without accounting too, as the platform starts it")
)

// TestAccountingCost measures the CPU time per request with all of accounting on and off, side by side.
func TestAccountingCost(t *testing.T) {
	if *costPairs == 0 {
		t.Skip("asked for by -pairs")
	}
	withConf, otherBinary := "figures file FIGURES\nfigures periods 1440 every 1m\nfigures customers 64\n", binary
	if *bare {
		withConf = ""
	}
	if *baseline != "" {
		otherBinary = *baseline
	}
	cost := func(program, conf string) (float64, int64) {
		node := newTestNode(t, 8, constantWork(200*time.Microsecond), conf)
		process := node.process
		process.Binary, process.WithoutCommands = program, program != binary || *bare
		node.start()
		before, err := process.CPU() // not counting the start
		if err != nil {
			t.Fatal(err)
		}
		tally := fake.NewTally()
		ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
		defer stop()
		fake.EdgeLoad{
			Address: process.Listen, Conns: 8, Interval: 4 * time.Millisecond, Slots: 30, Callers: *edgeCallers,
			Handlers: []string{"status", "file-claim"}, CostMS: 0.2, Body: "a field",
		}.Run(ctx, tally, 1)
		after, err := process.CPU()
		if err != nil {
			t.Fatal(err)
		}
		if err := process.Drain(); err != nil {
			t.Fatal(err)
		}
		return float64((after - before).Microseconds()) / float64(len(tally.All())), process.MaxResident()
	}
	var ratios []float64
	for range *costPairs {
		var on, off float64
		var kb [2]int64
		var both sync.WaitGroup // side by side, so that other load on the machine affects both alike
		both.Go(func() { on, kb[0] = cost(binary, withConf) })
		both.Go(func() { off, kb[1] = cost(otherBinary, "") })
		both.Wait()
		t.Logf("with accounting %.1f us a request, without %.1f: %.3f; %d and %d KB", on, off, on/off, kb[0], kb[1])
		ratios = append(ratios, on/off)
	}
	slices.Sort(ratios)
	t.Logf("ratios %.3f, median %.3f", ratios, ratios[len(ratios)/2])
}
