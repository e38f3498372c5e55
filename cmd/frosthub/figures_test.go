package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"frosthub/accounting"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/invariant"
	"frosthub/internal/statsfile"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	kills  = flag.Int("kills", 24, "how often a box is killed under load; 300 outside CI")
	drains = flag.Int("drains", 20, "how often one is drained under load; 300 outside CI")
)

// binary is the built program, the one of all tests here.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "frosthub-test-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "frosthub")
	tags := "release"
	if invariant.Debug { // the program stops at what must not be, as this test does
		tags = "debug"
	}
	if out, err := exec.Command("go", "build", "-tags", tags, "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// rig is a box with a stand-in processor, an address for AJP and a place for figures.
type rig struct {
	t           *testing.T
	p           *fake.Processor
	box         *harness.Process
	front, path string
}

func everyReq(d time.Duration) func(uint64, string) time.Duration {
	return func(uint64, string) time.Duration { return d }
}

// newRig prepares one; FRONT and FIGURES in the operator's lines stand for its own.
func newRig(t *testing.T, cores float64, work func(uint64, string) time.Duration, lines string) *rig {
	t.Helper()
	x := &rig{t: t}
	var err error
	if x.p, err = fake.NewProcessor(cores, work); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.p.Close)
	address, err := harness.FreeAddress()
	if err == nil {
		x.front, err = harness.FreeAddress()
	}
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	x.path = filepath.Join(dir, "figures")
	x.box = &harness.Process{
		Binary: binary, Dir: dir, Listen: address, Processor: x.p.Address(), StopMS: 500,
		Conf: strings.NewReplacer("FRONT", x.front, "FIGURES", x.path).Replace(lines),
	}
	return x
}

func (x *rig) start() {
	x.t.Helper()
	if err := x.box.Start(); err != nil {
		x.t.Fatal(err)
	}
}

func (x *rig) end() { _ = x.box.Kill() }

// fate is what a box's account says of a req.
type fate struct {
	sent, closed bool
	doubt        bool
	why          accounting.Reason // of the answer or the end
}

// fates reads the changes of one life.
func fates(t *testing.T, path string) (map[uint64]fate, *accounting.Ledger) {
	book, data, err := statsfile.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	ops, err := statsfile.RecentEntries(data)
	if err != nil {
		t.Fatal(err)
	}
	at, out := map[uint32]uint64{}, map[uint64]fate{}
	for _, op := range ops {
		id := at[op.Slot]
		f := out[id]
		switch op.Kind {
		case accounting.EntryOpen:
			if _, again := out[op.ID]; again && op.ID != 0 {
				t.Errorf("%016x is taken twice", op.ID)
			}
			at[op.Slot] = op.ID
			out[op.ID] = fate{}
			continue
		case accounting.EntryAnswer:
			f.why = op.Reason
		case accounting.EntrySent:
			f.sent = true
		case accounting.EntryClose:
			f.closed, f.why = true, op.Reason
		default:
			continue
		}
		out[id] = f
	}
	return out, book
}

// agrees tells whether box and edge node say the same of a req.
func agrees(o fake.Outcome, f fate, taken bool) bool {
	var want accounting.Category
	switch o {
	case fake.Served:
		want = accounting.Served
	case fake.Rejected:
		want = accounting.Rejected
	case fake.Failed:
		want = accounting.Failed
	case fake.Aborted:
		return f.closed && f.why == accounting.Aborted
	case fake.Sent, fake.NotSent: // nothing has come of it: never taken, or closed without an answer
		return !taken || !f.sent
	default:
		return false
	}
	return taken && (f.sent || f.doubt) && f.why.Category() == want
}

// TestKillsAndDrains has boxes killed and drained under load, and holds their accounts against the edge nodes' tallies,
// id by id and in sum.
func TestKillsAndDrains(t *testing.T) {
	const boxes = 4
	for i := range boxes {
		t.Run(fmt.Sprint("box ", i), func(t *testing.T) {
			t.Parallel()
			killsAndDrains(t, (*kills+boxes-1-i)/boxes, (*drains+boxes-1-i)/boxes, uint64(i))
		})
	}
}

func killsAndDrains(t *testing.T, kills, drains int, seed uint64) {
	x := newRig(t, 2, everyReq(2*time.Millisecond), "ajp listen FRONT\nfigures file FIGURES\nfigures trail 65536\n"+
		"figures periods 60 every 1s\nfigures customers 8\n")
	p, box, path, front := x.p, x.box, x.path, x.front
	load := fake.EdgeLoad{
		Address: box.Listen, Conns: 6, Interval: 6 * time.Millisecond, Slots: 24, Callers: 20,
		Handlers: []string{"status", "field-update", "file-claim"}, Abort: 0.05, Close: 0.02, Bad: 0.02, Body: "a field",
	}
	stream := fake.OpenLoad{Rate: 250, Handlers: load.Handlers, CostMS: 2, Target: time.Second, Timeout: 3 * time.Second, Body: "a field"}
	r := rand.New(rand.NewPCG(seed, 7))
	var sums accounting.Counts // as the edge nodes have them
	var doubts, most, lives int
	settled := strings.Builder{}
	for left := kills + drains; left > 0; left-- {
		var err error
		kill := r.IntN(left) < kills
		if err := box.Start(); err != nil {
			t.Fatal(err)
		}
		lives++
		tally := fake.NewTally()
		ctx, stop := context.WithCancel(t.Context())
		loaded, seeds := make(chan struct{}), [2]uint64{r.Uint64(), r.Uint64()}
		go func() {
			var both sync.WaitGroup
			both.Go(func() { load.Run(ctx, tally, seeds[0]) })
			both.Go(func() {
				jp := fake.NewAJPClient(front)
				defer jp.Close()
				stream.Run(ctx, seeds[1], tally, func(uint64) fake.Client { return jp })
			})
			both.Wait()
			close(loaded)
		}()
		time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
		if kill {
			kills--
			err = box.Kill()
		} else {
			err = box.Drain()
		}
		if err != nil {
			t.Fatal(err, box.Log())
		}
		stop()
		<-loaded
		of, book := fates(t, path)
		if kill {
			book.CloseAll(accounting.OpenAtKill, accounting.Killed)
		}
		list, _, _ := book.Incarnations()
		life := list[len(list)-1]
		for _, id := range life.UncertainIDs {
			f := of[id]
			f.doubt = true
			of[id] = f
		}
		doubts, most = doubts+len(life.UncertainIDs), max(most, len(life.UncertainIDs))
		all := tally.All()
		var mine accounting.Counts // of this life, settled by the tally
		for id, o := range all {
			f, taken := of[id]
			if !agrees(o, f, taken) {
				t.Errorf("life %d: %016x is %s for the edge node, %+v in the account (%v)", lives, id, o, f, taken)
			}
			if !taken {
				continue
			}
			mine.Received++
			switch o {
			case fake.Served:
				mine.Served++
			case fake.Rejected:
				mine.Rejected++
			default:
				mine.Failed++
			}
			if f.doubt {
				word := map[fake.Outcome]string{fake.Served: "served", fake.Rejected: "refused"}[o]
				if word == "" {
					word = "failed"
				}
				fmt.Fprintf(&settled, "%016x %s\n", id, word)
			}
		}
		for id := range of {
			if _, asked := all[id]; !asked {
				t.Errorf("life %d: %016x was never asked for", lives, id)
			}
		}
		for id, n := range p.Runs() {
			if n > 1 {
				t.Errorf("%016x ran %d times", id, n)
			}
		}
		p.Reset()
		got := life.Counts
		for _, id := range life.UncertainIDs {
			switch all[id] {
			case fake.Served:
				got = got.Reclassified(accounting.Served)
			case fake.Rejected:
				got = got.Reclassified(accounting.Rejected)
			}
		}
		if got != mine {
			t.Errorf("life %d: the box has %+v, the edge nodes %+v", lives, got, mine)
		}
		sums = sums.Plus(mine)
	}
	t.Logf("%d lives, %+v; in doubt %d, %d a life at most", lives, sums, doubts, most)
	if sums.Served < int64(20*lives) || sums.Failed == 0 {
		t.Error("too little was asked to tell anything")
	}
	if lives > 50 {
		return // ids in doubt of early lives are no longer told one by one
	}
	tally := filepath.Join(box.Dir, "tally")
	if err := os.WriteFile(tally, []byte(settled.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(binary, "figures", "--json", "--tally", tally, path).Output()
	if err != nil {
		t.Fatal(err, string(out))
	}
	var told []struct {
		Report    accounting.Report
		DoubtIDs  []string `json:"doubt_ids"`
		Different string   `json:"difference"`
	}
	if err := json.Unmarshal(out, &told); err != nil {
		t.Fatal(err)
	}
	if told[0].Report.Total != sums || len(told[0].DoubtIDs) > 0 || told[0].Different != "" {
		t.Errorf("figures says %+v, %v in doubt, %q; the edge nodes %+v", told[0].Report.Total, told[0].DoubtIDs, told[0].Different, sums)
	}
}

var (
	pairs    = flag.Int("pairs", 0, "measure the cost of the figures in so many pairs of runs")
	callers  = flag.Int("callers", 20, "edge nodes that ask in it")
	baseline = flag.String("baseline", "", "a program to measure against, instead of this one without figures")
	bare     = flag.Bool("bare", false, "and this one without figures too, as the platform starts it")
)

// TestCost measures the time on cores a req, with all of the figures on and without them, side by side.
func TestCost(t *testing.T) {
	if *pairs == 0 {
		t.Skip("asked for by -pairs")
	}
	with, other := "figures file FIGURES\nfigures periods 1440 every 1m\nfigures customers 64\n", binary
	if *bare {
		with = ""
	}
	if *baseline != "" {
		other = *baseline
	}
	cost := func(program, conf string) (float64, int64) {
		x := newRig(t, 8, everyReq(200*time.Microsecond), conf)
		box := x.box
		box.Binary, box.WithoutCommands = program, program != binary || *bare
		x.start()
		before, err := box.CPU() // without what the start takes
		if err != nil {
			t.Fatal(err)
		}
		tally := fake.NewTally()
		ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
		defer stop()
		fake.EdgeLoad{
			Address: box.Listen, Conns: 8, Interval: 4 * time.Millisecond, Slots: 30, Callers: *callers,
			Handlers: []string{"status", "file-claim"}, CostMS: 0.2, Body: "a field",
		}.Run(ctx, tally, 1)
		after, err := box.CPU()
		if err != nil {
			t.Fatal(err)
		}
		if err := box.Drain(); err != nil {
			t.Fatal(err)
		}
		return float64((after - before).Microseconds()) / float64(len(tally.All())), box.MaxResident()
	}
	var ratios []float64
	for range *pairs {
		var on, off float64
		var kb [2]int64
		var both sync.WaitGroup // at the same time: what else the machine does meets both alike
		both.Go(func() { on, kb[0] = cost(binary, with) })
		both.Go(func() { off, kb[1] = cost(other, "") })
		both.Wait()
		t.Logf("with %.1f us a req, without %.1f: %.3f; %d and %d KB", on, off, on/off, kb[0], kb[1])
		ratios = append(ratios, on/off)
	}
	slices.Sort(ratios)
	t.Logf("ratios %.3f, median %.3f", ratios, ratios[len(ratios)/2])
}
