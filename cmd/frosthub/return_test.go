package main

import (
	"context"
	"errors"
	"flag"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/invariant"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// powerBinary is the program with disks that note what a loss of power would leave.
func powerBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "frosthub-powerloss")
	tags := "powerloss"
	if invariant.Debug {
		tags += ",debug"
	}
	if out, err := exec.Command("go", "build", "-tags", tags, "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	return path
}

// newPoweredFleet starts a cluster of such programs.
func newPoweredFleet(t *testing.T, boxes int, lines string) *fleetRig {
	t.Helper()
	f := prepareFleet(t, boxes, 6*time.Millisecond)
	program := powerBinary(t)
	all := make([]int, boxes)
	for i := range all {
		all[i] = i
	}
	for i, b := range f.boxes {
		b.Binary = program
		f.alone[i] += lines + "keep made-field X-First-Made\n" // else who lost its disk can tell nothing of what comes for a horizon
		f.joins(i, all, nil)
	}
	f.start(all...)
	return f
}

// TestPowerLost has all boxes of seven lose power in one moment under load, with their processors, again and again. Each disk keeps what was
// confirmed and some of the rest; one box comes back late, one with an older copy of its disk, now and then power is lost again within the
// return, or one box stays away for good. The older disk is found out, no claim runs twice, and what was answered is answered alike.
func TestPowerLost(t *testing.T) {
	const boxes = 7
	f := newPoweredFleet(t, boxes, "")
	defer f.end()
	r := rand.New(rand.NewPCG(4, 4))
	load := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 40, Repeats: 2, Late: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 6}
	stop := f.asks(load, 6)
	lose := func() {
		f.dark()
		f.cutDisks(r)
	}
	older := 0
	for round := range *losses {
		copied := r.IntN(boxes)
		late := (copied + 1 + r.IntN(boxes-1)) % boxes
		store, aside := filepath.Join(f.boxes[copied].Dir, "keep"), filepath.Join(t.TempDir(), "copy")
		copyFiles(t, aside, store) // as of a running box: a torn end is as a crash leaves it
		time.Sleep(1200 * time.Millisecond)
		lose()
		if round%3 == 2 { // once more, within the return
			for _, i := range r.Perm(boxes) {
				if err := f.boxes[i].Launch(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
			}
			lose()
		}
		lacks := logged(t, aside) < logged(t, store)
		if err := os.RemoveAll(store); err != nil {
			t.Fatal(err)
		}
		copyFiles(t, store, aside)
		before := len(f.boxes[copied].Log())
		for _, i := range r.Perm(boxes) {
			if i != late {
				time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
				if err := f.boxes[i].Start(); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(600 * time.Millisecond)
		if err := f.boxes[late].Start(); err != nil {
			t.Fatal(err)
		}
		if !lacks { // nothing was written since: it is no older
			continue
		}
		found := false
		for end := time.Now().Add(5 * time.Second); !found && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			found = strings.Contains(f.boxes[copied].Log()[before:], "store older than known")
		}
		if older++; !found {
			t.Errorf("round %d: n%d trusts an older disk (n%d is late):\n%s", round, copied+1, late+1, f.boxes[copied].Log()[before:])
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop()
	sums := f.judge(load)
	t.Logf("%+v; %d losses, %d disks were older", sums, *losses, older)
	if sums.Served < 50*(*losses) || older == 0 {
		t.Error("too little was asked to tell anything")
	}
}

// TestStartsDie: a box whose starts die over its store, three in a row, puts it aside and comes back without; in its cluster no claim runs
// twice for that, and what the others have noted is still answered.
func TestStartsDie(t *testing.T) {
	f := newFleetRig(t, 3, 5*time.Millisecond, true)
	defer f.end()
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: 20, Repeats: 1, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	load.Run(t.Context(), 3, func(n uint64) fake.Client { return f.fc[n>>40%3] })
	if err := f.boxes[0].Kill(); err != nil {
		t.Fatal(err)
	}
	store := filepath.Join(f.boxes[0].Dir, "keep")
	if err := os.WriteFile(filepath.Join(store, "reading"), []byte("3\n"), 0o600); err != nil { // as three that died leave it
		t.Fatal(err)
	}
	f.start(0)
	if log := f.boxes[0].Log(); !strings.Contains(log, "starts died over it") || !strings.Contains(log, "serving in part") {
		t.Error(log)
	}
	again := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: 20, Repeats: 1, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	again.Run(t.Context(), 3, func(n uint64) fake.Client { return f.fc[n>>40%3] }) // the same keys
	first, _ := load.Judge(f.effects())
	sums := f.judge(again)
	t.Logf("%+v; %+v", first, sums)
	if sums.Served < sums.Keys*9/10 {
		t.Error("the others do not answer what they have noted")
	}
	if _, err := os.Stat(filepath.Join(store, "reading")); err == nil {
		t.Error("the start that came through is counted")
	}
}

// copyFiles copies those of a folder that stay there meanwhile.
func copyFiles(t *testing.T, to, from string) {
	t.Helper()
	all, err := os.ReadDir(from)
	if err == nil {
		err = os.MkdirAll(to, 0o700)
	}
	for _, file := range all {
		text, err := os.ReadFile(filepath.Join(from, file.Name()))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(to, file.Name()), text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// logged is how many bytes of records a store has.
func logged(t *testing.T, dir string) (n int64) {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range all {
		info, err := os.Stat(file)
		if err != nil {
			t.Fatal(err)
		}
		n += info.Size()
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
}

var losses = flag.Int("losses", 4, "how often all boxes lose power at once; CI runs it twice; 300 outside")

// TestDiskLost has a box of five come back with an empty disk under load. The others tell it again what it had; once they have, a second one is
// lost for good, and what only these two and one more had noted is still answered alike: by the one that is left and the one that was told.
func TestDiskLost(t *testing.T) {
	f := newFleetRig(t, 5, 5*time.Millisecond, true)
	defer f.end()
	before := &harness.ClaimLoad{Handler: "file-claim", Callers: 20, Keys: 25, Repeats: 1, Pause: 2 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	before.Run(t.Context(), 3, func(n uint64) fake.Client { return f.fc[n>>40%5] })
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Repeats: 2, Late: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	stop := f.asks(load, 4)
	box := f.boxes[0]
	if err := box.Kill(); err != nil {
		t.Fatal(err)
	}
	f.ps[0].Reset()
	store := filepath.Join(box.Dir, "keep")
	if err := os.RemoveAll(store); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(binary, "keep", "init", "--box", "n1", store).CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	began := time.Now()
	f.start(0)
	for end := time.Now().Add(15 * time.Second); !strings.Contains(box.Log(), `by="all others"`); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it is never told again: ", box.Log())
		}
	}
	took := time.Since(began)
	if err := f.boxes[1].Kill(); err != nil {
		t.Fatal(err)
	}
	f.ps[1].Reset()
	time.Sleep(time.Second)
	stop()
	again := &harness.ClaimLoad{Handler: "file-claim", Callers: 20, Keys: 25, Repeats: 1, Pause: 2 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	again.Run(t.Context(), 3, func(n uint64) fake.Client { return f.fc[[...]int{0, 2, 3, 4}[n>>40%4]] }) // the same keys
	first, _ := before.Judge(f.effects())
	sums, wrong := again.Judge(f.effects())
	_, bad := load.Judge(f.effects())
	for _, w := range append(wrong, bad...) {
		t.Error(w)
	}
	t.Logf("%+v; %+v; told again within %s", first, sums, took)
	if first.Served < 450 || sums.Served != first.Keys {
		t.Error("what was answered is not answered by those that are left")
	}
}

// logs waits until a box has logged something since a place in its log.
func (f *fleetRig) logs(i, from int, text string, within time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(within); !strings.Contains(f.boxes[i].Log()[from:], text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("n%d does not log %q:\n%s", i+1, text, f.boxes[i].Log()[from:])
		}
	}
}

// dark has all boxes and processors end in one moment.
func (f *fleetRig) dark() {
	f.t.Helper()
	for _, b := range f.boxes {
		if err := b.Kill(); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, p := range f.ps {
		p.Reset()
	}
}

// cutDisks leaves of the disks of all boxes what a loss of power could have left.
func (f *fleetRig) cutDisks(r *rand.Rand) {
	f.t.Helper()
	for _, b := range f.boxes {
		if err := harness.CutPower(filepath.Join(b.Dir, "keep"), r); err != nil {
			f.t.Fatal(err)
		}
	}
}

// empty gives a box a new store under its old name.
func (f *fleetRig) empty(i int) {
	f.t.Helper()
	store := filepath.Join(f.boxes[i].Dir, "keep")
	if err := os.RemoveAll(store); err != nil {
		f.t.Fatal(err)
	}
	if out, err := exec.Command(binary, "keep", "init", "--box", f.boxes[i].Name, store).CombinedOutput(); err != nil {
		f.t.Fatal(string(out))
	}
}

// TestBackOneByOne: three boxes lose power, one of them its disk too. The one with the empty disk, alone, answers no claim and runs none; with a
// second one back what that one knows is answered; the last one has the rest. A box that never comes back is forgotten by an operator's word.
func TestBackOneByOne(t *testing.T) {
	f := prepareFleet(t, 3, 5*time.Millisecond)
	defer f.end()
	var admin [2]string
	for i := range admin {
		var err error
		if admin[i], err = harness.FreeAddress(); err != nil {
			t.Fatal(err)
		}
		f.alone[i] += "cluster wait 300ms alone 1s\nadmin listen " + admin[i] + "\n"
	}
	for i := range f.boxes {
		f.joins(i, []int{0, 1, 2}, nil)
	}
	f.start(0, 1, 2)
	ask := func(seed uint64, keys int, boxes ...int) *harness.ClaimLoad {
		load := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: keys, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
		load.Run(t.Context(), seed, func(n uint64) fake.Client { return f.fc[boxes[n>>40%uint64(len(boxes))]] })
		return load
	}
	first := ask(1, 20, 0, 1, 2)
	before := f.effects()
	f.dark()
	f.empty(0)
	if err := f.boxes[0].Start(); err != nil {
		t.Fatal(err)
	}
	alone := &harness.ClaimLoad{Handler: "file-claim", Callers: 10, Keys: 1, Pause: 5 * time.Millisecond, Timeout: time.Second, CostMS: 5}
	alone.Run(t.Context(), 1, func(uint64) fake.Client { return f.fc[0] })
	if sums, _ := alone.Judge(nil); sums.Served > 0 || sums.OutcomeUnknown > 0 || len(f.effects()) > len(before) {
		t.Errorf("an empty disk alone answers, or runs: %+v", sums)
	}
	if err := f.boxes[1].Start(); err != nil {
		t.Fatal(err)
	}
	f.logs(0, 0, `by=n2`, 15*time.Second)
	if said := f.boxes[0].Log(); strings.Contains(said, `by="all others"`) {
		t.Error("told all by one of two: ", said)
	}
	two := ask(1, 20, 0, 1) // the same keys: what n2 has noted is answered by both
	t.Logf("all %+v; two of three back %+v", f.judge(first), f.judge(two))
	say := func(i int, args ...string) string {
		out, _ := exec.Command(binary, append(append([]string{"recovery"}, args...), "--admin", admin[i])...).CombinedOutput()
		return string(out)
	}
	if out := say(0, "forget", "n2", "--yes"); !strings.Contains(out, "alive") {
		t.Error("one that lives is forgotten: ", out)
	}
	if out := say(1, "trust", "--yes"); !strings.Contains(out, "recorded") { // nobody but the empty one could vouch for it
		t.Error(out)
	}
	if out := say(0, "forget", "n3", "--yes"); !strings.Contains(out, "recorded") {
		t.Error(out)
	}
	f.logs(0, 0, `by="all others"`, 10*time.Second)
	if out := say(0); !strings.Contains(out, "serving") || !strings.Contains(out, "n2") {
		t.Error(out)
	}
	if sums := f.judge(ask(2, 20, 0, 1)); sums.Served != sums.Keys { // new ones
		t.Errorf("%+v", sums)
	}
	f.start(2) // after all
	f.logs(0, 0, "back=n3", 5*time.Second)
	if sums := f.judge(ask(2, 20, 0, 1, 2)); sums.Served != sums.Keys {
		t.Errorf("%+v", sums)
	}
	for key, n := range f.effects() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestBackHalf: seven boxes whose results age within seconds, so that segments give way to prints all the time, lose power twice, each time
// twice more within the return; then three of them never come back. No claim runs twice, and the four that are left serve.
func TestBackHalf(t *testing.T) {
	const boxes = 7
	f := newPoweredFleet(t, boxes, "keep lifetime 4s\nkeep horizon 16s\n")
	defer f.end()
	r := rand.New(rand.NewPCG(7, 3))
	load := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 30, Repeats: 1, Pause: 10 * time.Millisecond, Timeout: time.Second, CostMS: 6}
	stop := f.asks(load, 31)
	for range 2 {
		time.Sleep(2500 * time.Millisecond)
		for range 2 { // power comes back for a moment
			f.dark()
			f.cutDisks(r)
			for _, i := range r.Perm(boxes) {
				if err := f.boxes[i].Launch(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
			}
		}
		f.dark()
		f.cutDisks(r)
		for _, i := range r.Perm(boxes) {
			if err := f.boxes[i].Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(time.Second)
	stop()
	retired := 0
	for _, b := range f.boxes {
		all, err := filepath.Glob(filepath.Join(b.Dir, "keep", "*.prints"))
		if err != nil {
			t.Fatal(err)
		}
		retired += len(all)
	}
	for _, i := range []int{4, 5, 6} {
		if err := f.boxes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		f.ps[i].Reset()
	}
	half := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 30, Pause: 20 * time.Millisecond, Timeout: time.Second, CostMS: 6}
	ctx, done := context.WithTimeout(t.Context(), 2*time.Second)
	defer done()
	half.Run(ctx, 32, func(n uint64) fake.Client { return f.fc[n>>40%4] })
	whole, rest := f.judge(load), f.judge(half)
	t.Logf("%+v; half of them %+v; %d segments are prints", whole, rest, retired)
	if whole.Served < 300 || rest.Served < 10 || retired == 0 {
		t.Error("too little was served, or nothing has aged")
	}
}

// TestBackIll: five boxes come back from a loss of power with clocks an hour behind and an hour ahead, a disk that is full and one a hundred times
// slower, while ten times the callers ask; then all lose power again, with their disks well. No claim runs twice, and each is answered alike.
func TestBackIll(t *testing.T) {
	const boxes = 5
	f := newPoweredFleet(t, boxes, "")
	defer f.end()
	load := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 8, Repeats: 2, Late: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	flood := &harness.ClaimLoad{Handler: "file-claim", SendCreatedAt: true, Callers: 72, Repeats: 1, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	stop := f.asks(load, 21)
	r := rand.New(rand.NewPCG(9, 9))
	ill := []string{"", "", "100ms", "full", "read-only"}
	for round := range 4 {
		time.Sleep(500 * time.Millisecond)
		f.dark()
		f.cutDisks(r)
		for i, b := range f.boxes {
			b.ClockOffset = 0
			fault := filepath.Join(b.Dir, "keep", ".fault")
			_ = os.Remove(fault) // none at first
			if round%2 == 1 {
				continue
			}
			b.ClockOffset = []time.Duration{-time.Hour, time.Hour, 0}[(i+round)%3]
			if word := ill[(i+round)%len(ill)]; word != "" {
				if err := os.WriteFile(fault, []byte(word), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		for _, i := range r.Perm(boxes) {
			if err := f.boxes[i].Start(); err != nil {
				t.Fatal(err)
			}
		}
		if round == 1 {
			end := f.asks(flood, 22)
			time.Sleep(time.Second)
			end()
		}
	}
	time.Sleep(time.Second)
	stop()
	for _, l := range []*harness.ClaimLoad{load, flood} {
		sums := f.judge(l)
		t.Logf("%+v", sums)
		if sums.Served < 50 {
			t.Error("too little was served to tell anything")
		}
	}
}

var earlier = flag.String("earlier", "", "an earlier program that knows clusters, for fleets of two versions")

// TestVersions has two boxes of five run an earlier program while boxes are killed and one loses its disk: no claim runs twice, and the box in part
// stays so until all are known to be new.
func TestVersions(t *testing.T) {
	if *earlier == "" {
		t.Skip("asked for by -earlier")
	}
	f := prepareFleet(t, 5, 5*time.Millisecond)
	defer f.end()
	for i := range f.boxes {
		f.joins(i, []int{0, 1, 2, 3, 4}, nil)
	}
	f.boxes[3].Binary, f.boxes[4].Binary = *earlier, *earlier
	f.start(0, 1, 2, 3, 4)
	load := &harness.ClaimLoad{Handler: "file-claim", Callers: 20, Repeats: 2, Late: 0.5, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second, CostMS: 5}
	stop := f.asks(load, 5)
	for i := range f.boxes {
		time.Sleep(300 * time.Millisecond)
		if err := f.boxes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			f.empty(0)
		}
		time.Sleep(200 * time.Millisecond)
		if err := f.boxes[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second)
	if strings.Contains(f.boxes[0].Log(), `by="all others"`) {
		t.Error("told all while older programs run: ", f.boxes[0].Log())
	}
	for _, i := range []int{3, 4} {
		if err := f.boxes[i].Kill(); err != nil {
			t.Fatal(err)
		}
		f.boxes[i].Binary = binary
		f.start(i)
	}
	f.logs(0, 0, `by="all others"`, 20*time.Second)
	stop()
	sums := f.judge(load)
	t.Logf("%+v", sums)
}
