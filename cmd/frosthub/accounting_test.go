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

// ledgerEntry is the state of a request according to a node's ledger.
type ledgerEntry struct {
	sent      bool // the response was written completely
	closed    bool
	uncertain bool              // the outcome is unknown
	reason    accounting.Reason // of the response or the close
}

// readLedger reads the entries of the last incarnation from an accounting file.
func readLedger(t *testing.T, path string) (map[uint64]ledgerEntry, *accounting.Ledger) {
	t.Helper()
	ledger, data, err := statsfile.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	changes, err := statsfile.RecentEntries(data)
	if err != nil {
		t.Fatal(err)
	}
	slots := map[uint32]uint64{}
	entries := map[uint64]ledgerEntry{}
	for _, change := range changes {
		id := slots[change.Slot]
		entry := entries[id]
		switch change.Kind {
		case accounting.EntryOpen:
			if _, duplicate := entries[change.ID]; duplicate && change.ID != 0 {
				t.Errorf("request %016x has two entries in the ledger", change.ID)
			}
			slots[change.Slot] = change.ID
			entries[change.ID] = ledgerEntry{}
			continue
		case accounting.EntryResponseWritten:
			entry.reason = change.Reason
		case accounting.EntryResponseSent:
			entry.sent = true
		case accounting.EntryClose:
			entry.closed = true
			entry.reason = change.Reason
		default:
			continue
		}
		entries[id] = entry
	}
	return entries, ledger
}

// consistent reports whether a ledger entry agrees with the outcome that the edge node has recorded. Without an entry in the ledger, entered is false.
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
	case fake.Sent, fake.NotSent: // without a response: no entry, or one that was closed without a response
		return !entered || !entry.sent
	default:
		return false
	}
	return entered && (entry.sent || entry.uncertain) && entry.reason.Category() == want
}

// TestKillsAndDrains kills and drains nodes under load. Their ledgers must agree with the tallies of the edge nodes, request by request and in total.
func TestKillsAndDrains(t *testing.T) {
	const nodes = 4
	for i := range nodes {
		t.Run(fmt.Sprint("node ", i), func(t *testing.T) {
			t.Parallel()
			killsAndDrains(t, (*killCount+nodes-1-i)/nodes, (*drainCount+nodes-1-i)/nodes, uint64(i))
		})
	}
}

// killsAndDrains runs TestKillsAndDrains for one node.
func killsAndDrains(t *testing.T, kills, drains int, seed uint64) {
	r := &accountingRun{
		testNode: newTestNode(t, 2, constantWork(2*time.Millisecond), "ajp listen FRONT\nfigures file FIGURES\nfigures trail 65536\n"+
			"figures periods 60 every 1s\nfigures customers 8\n"),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
	for remaining := kills + drains; remaining > 0; remaining-- {
		kill := r.random.IntN(remaining) < kills
		if kill {
			kills--
		}
		outcomes := r.runIncarnation(kill)
		r.verifyIncarnation(outcomes, kill)
	}
	t.Logf("%d incarnations, %+v; unknown outcomes: %d, at most %d in one incarnation", r.incarnations, r.totals, r.uncertain, r.maxUncertain)
	if r.totals.Served < int64(20*r.incarnations) || r.totals.Failed == 0 {
		t.Error("too few requests were served, or none failed")
	}
	if r.incarnations <= maxReportedIncarnations {
		r.verifyReport()
	}
}

// maxReportedIncarnations is the number of incarnations up to which the report lists each request with an unknown outcome.
const maxReportedIncarnations = 50

// accountingRun is a node that is killed and drained under load, with the totals that its edge nodes have recorded.
type accountingRun struct {
	*testNode
	random       *rand.Rand
	incarnations int
	totals       accounting.Counts // according to the tallies of the edge nodes
	uncertain    int               // requests whose outcome is unknown to the node
	maxUncertain int               // the largest number in one incarnation
	settlements  strings.Builder   // outcomes of the uncertain requests, as lines of a tally file
}

// runIncarnation starts the node, sends requests, kills or drains the node, and returns the outcomes that the edge nodes have recorded.
func (r *accountingRun) runIncarnation(kill bool) map[uint64]fake.Outcome {
	r.t.Helper()
	r.start()
	r.incarnations++
	tally := fake.NewTally()
	ctx, stop := context.WithCancel(r.t.Context())
	defer stop()
	var loads sync.WaitGroup
	r.startLoads(ctx, tally, &loads)
	time.Sleep(time.Duration(50+r.random.IntN(200)) * time.Millisecond)
	endProcess := r.process.Drain
	if kill {
		endProcess = r.process.Kill
	}
	if err := endProcess(); err != nil {
		r.t.Fatal(err, r.process.Log())
	}
	stop()
	loads.Wait()
	return tally.All()
}

// startLoads sends requests over FastCGI and AJP until the context is done.
func (r *accountingRun) startLoads(ctx context.Context, tally *fake.Tally, loads *sync.WaitGroup) {
	handlers := []string{"status", "field-update", "file-claim"}
	fastcgiLoad := fake.EdgeLoad{
		Address:             r.process.Listen,
		Conns:               6,
		Interval:            6 * time.Millisecond,
		Slots:               24,
		Callers:             20,
		Handlers:            handlers,
		AbortShare:          0.05,
		CloseShare:          0.02,
		UnknownHandlerShare: 0.02,
		Body:                "a field",
	}
	ajpLoad := fake.OpenLoad{
		Rate:     250,
		Handlers: handlers,
		CostMS:   2,
		Target:   time.Second,
		Timeout:  3 * time.Second,
		Body:     "a field",
	}
	fastcgiSeed := r.random.Uint64()
	ajpSeed := r.random.Uint64()
	loads.Go(func() { fastcgiLoad.Run(ctx, tally, fastcgiSeed) })
	loads.Go(func() {
		client := fake.NewAJPClient(r.ajpAddress)
		defer client.Close()
		ajpLoad.Run(ctx, ajpSeed, tally, func(uint64) fake.Client { return client })
	})
}

// verifyIncarnation compares the ledger of the last incarnation with the outcomes that the edge nodes have recorded, and checks that no request ran
// twice at the processor.
func (r *accountingRun) verifyIncarnation(outcomes map[uint64]fake.Outcome, killed bool) {
	r.t.Helper()
	entries, ledger := readLedger(r.t, r.accountingPath)
	if killed {
		ledger.EndIncarnation(accounting.OpenAtKill, accounting.Killed)
	}
	incarnations, _, _ := ledger.Incarnations()
	incarnation := incarnations[len(incarnations)-1]
	for _, id := range incarnation.UncertainIDs {
		entry := entries[id]
		entry.uncertain = true
		entries[id] = entry
	}
	r.uncertain += len(incarnation.UncertainIDs)
	r.maxUncertain = max(r.maxUncertain, len(incarnation.UncertainIDs))
	expected := r.verifyEntries(outcomes, entries)
	for id, runs := range r.processor.Runs() {
		if runs > 1 {
			r.t.Errorf("request %016x ran %d times", id, runs)
		}
	}
	r.processor.Reset()
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
		r.t.Errorf("incarnation %d: the ledger has %+v, the tallies of the edge nodes have %+v", r.incarnations, recorded, expected)
	}
	r.totals = r.totals.Plus(expected)
}

// verifyEntries compares each ledger entry with the outcome that the edge node has recorded, and returns the counts that follow from the outcomes.
func (r *accountingRun) verifyEntries(outcomes map[uint64]fake.Outcome, entries map[uint64]ledgerEntry) accounting.Counts {
	r.t.Helper()
	var expected accounting.Counts
	for id, outcome := range outcomes {
		entry, entered := entries[id]
		if !consistent(outcome, entry, entered) {
			r.t.Errorf("incarnation %d: request %016x: outcome %s at the edge node, ledger entry %+v (exists: %v)", r.incarnations, id, outcome, entry, entered)
		}
		if !entered {
			continue
		}
		settlement := "failed"
		expected.Received++
		switch outcome {
		case fake.Served:
			expected.Served++
			settlement = "served"
		case fake.Rejected:
			expected.Rejected++
			settlement = "refused"
		default:
			expected.Failed++
		}
		if entry.uncertain {
			fmt.Fprintf(&r.settlements, "%016x %s\n", id, settlement)
		}
	}
	for id := range entries {
		if _, sent := outcomes[id]; !sent {
			r.t.Errorf("incarnation %d: the ledger has request %016x, which no edge node has sent", r.incarnations, id)
		}
	}
	return expected
}

// verifyReport compares the program's report on all incarnations with the totals of the edge nodes, after their tally has settled the unknown outcomes.
func (r *accountingRun) verifyReport() {
	r.t.Helper()
	tallyPath := filepath.Join(r.process.Dir, "tally")
	if err := os.WriteFile(tallyPath, []byte(r.settlements.String()), 0o600); err != nil {
		r.t.Fatal(err)
	}
	out, err := exec.Command(binary, "figures", "--json", "--tally", tallyPath, r.accountingPath).Output()
	if err != nil {
		r.t.Fatal(err, string(out))
	}
	var reports []struct {
		Report     accounting.Report
		DoubtIDs   []string `json:"doubt_ids"`
		Difference string   `json:"difference"`
	}
	if err := json.Unmarshal(out, &reports); err != nil {
		r.t.Fatal(err)
	}
	if len(reports) != 1 {
		r.t.Fatalf("the program prints %d reports on one node", len(reports))
	}
	report := reports[0]
	if report.Report.Total != r.totals || len(report.DoubtIDs) > 0 || report.Difference != "" {
		r.t.Errorf("the report has %+v, unknown outcomes %v, difference %q; the edge nodes have %+v", report.Report.Total, report.DoubtIDs, report.Difference, r.totals)
	}
}

var (
	costPairs   = flag.Int("pairs", 0, "number of paired runs that measure the cost of accounting")
	edgeCallers = flag.Int("callers", 20, "number of edge nodes that send requests in the runs that measure the cost of accounting")
	baseline    = flag.String("baseline", "", "path of a program to compare with, instead of this program without accounting")
	bare        = flag.Bool("bare", false, "measure this program without accounting as well, started as the platform starts it")
)

// TestAccountingCost measures the CPU time per request with all of the accounting and without it, in two nodes side by side.
func TestAccountingCost(t *testing.T) {
	if *costPairs == 0 {
		t.Skip("runs only with -pairs")
	}
	withConf := "figures file FIGURES\nfigures periods 1440 every 1m\nfigures customers 64\n"
	otherBinary := binary
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
		before, err := process.CPU() // excludes the start of the process
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
		var both sync.WaitGroup // at the same time, so that other load on the machine affects both alike
		both.Go(func() { on, kb[0] = cost(binary, withConf) })
		both.Go(func() { off, kb[1] = cost(otherBinary, "") })
		both.Wait()
		t.Logf("CPU time per request with accounting %.1f us, without %.1f us, ratio %.3f; peak resident memory %d and %d KB", on, off, on/off, kb[0], kb[1])
		ratios = append(ratios, on/off)
	}
	slices.Sort(ratios)
	t.Logf("ratios %.3f, median %.3f", ratios, ratios[len(ratios)/2])
}
