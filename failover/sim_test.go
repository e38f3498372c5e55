package failover

import (
	"bytes"
	"flag"
	"fmt"
	"frosthub/idempotency"
	"frosthub/internal/harness"
	"frosthub/recovery"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var schedules = flag.Int("schedules", 2000, "clusters simulated; each takes some hundred steps")

const noon = 500_000 * time.Hour

var bounds = idempotency.Config{
	MaxEntries: 1000, MaxBytes: 100_000, MaxResultBytes: 1000, ResultTTL: time.Hour, RetryHorizon: 24 * time.Hour, MaxSegments: 20, KeysPerSegment: 100,
	SegmentBytes: 10_000,
}

// world is a cluster in one process: links that delay, cut one way, lose and repeat; boxes that die and come back with what their disk had
// confirmed, or stand still; and beliefs about who is alive that are wrong at random.
type world struct {
	t    testing.TB
	r    *rand.Rand
	seed uint64
	harness.EventQueue
	boxes    []*box
	cut      map[[2]int]bool
	loss     float64
	wrong    float64       // share of beliefs that are
	disk     time.Duration // a write takes up to so long
	lives    bool          // processors outlive their boxes
	keys     map[idempotency.Key]*truth
	ids      uint64
	moved    int // boxes that came to the end of the change
	runs     int
	found    int64  // ends that lost boxes' processors told
	replayed int    // repeats of replayable reqs that were answered from another's run
	bad      string // the first broken rule
	trace    []string

	calm     bool // nothing fails
	answered map[uint64]bool
	moves    bool // the members change meanwhile
	loses    bool // disks lose what they had confirmed, and their boxes are told it again
	refills  int  // that came to their end
	lost     int  // disks
	history  []harness.HistoryEvent
	verdicts map[idempotency.Decision]int
	askedAt  map[uint64]time.Duration
}

// truth is what really happened to a key.
type truth struct {
	effects int
	answer  []byte
	since   time.Duration // when it was first given
	asked   int
	replay  bool
}

type box struct {
	w       *world
	n       int
	name    string
	life    uint64
	up      bool
	still   time.Duration // stands still until then
	b       *Node
	store   *idempotency.Store
	disk    []idempotency.LogEntry
	waiting []idempotency.LogEntry // handed over, not confirmed
	ids     map[uint64]idempotency.Key
	known   []uint64 // lives of others, as heard
	roster  Roster   // on its disk
	goes    []uint64 // its digests
	told    map[string][]uint64
	ends    []ended // what its processor knows, in this life and those before if it outlives them
	lost    bool    // its disk is older than what others know, and does not say so
	fences  []Fence // on its disk
	refill  *recovery.Refill[Cursor]
}

// ended is a run that is over.
type ended struct {
	run    uint64
	kind   idempotency.EntryKind
	result []byte
}

// Alive and Life are what the box believes, right or wrong.
func (x *box) Alive(name string) bool {
	n := int(name[0] - 'a')
	right := x.w.boxes[n].up && x.w.boxes[n].still <= x.w.Now && !x.w.cut[[2]int{n, x.n}]
	if x.w.r.Float64() < x.w.wrong {
		return !right
	}
	return right
}
func (x *box) Dead(name string) bool          { return !x.Alive(name) }
func (x *box) Incarnation(name string) uint64 { return x.known[name[0]-'a'] }

func (w *world) span(most time.Duration) time.Duration {
	return time.Duration(w.r.Int64N(int64(most) + 1))
}

func (w *world) log(format string, args ...any) {
	if len(w.trace) < 3000 {
		w.trace = append(w.trace, fmt.Sprintf("%8s ", w.Now-noon)+fmt.Sprintf(format, args...))
	}
}

func (w *world) broken(format string, args ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf(format, args...)
		w.log("BROKEN %s", w.bad)
	}
}

// on has a box do something later, if it still lives that life; one that stands still does it when it wakes.
func (x *box) on(d time.Duration, do func()) {
	life := x.life
	x.w.After(d, func() {
		switch {
		case !x.up || x.life != life:
		case x.still > x.w.Now:
			x.on(x.still-x.w.Now, do)
		default:
			do()
			x.flush()
		}
	})
}

func (x *box) start() {
	x.life++
	x.up, x.still, x.ids = true, 0, map[uint64]idempotency.Key{}
	x.known = make([]uint64, len(x.w.boxes))
	limits := bounds
	if x.w.loses && x.w.seed%2 == 0 {
		limits.MaxEntries = 4 // so that keys age
	}
	x.store, x.waiting, x.refill = idempotency.New(limits), nil, nil
	if !x.w.lives {
		x.ends = nil
	}
	for _, r := range x.disk {
		x.store.Load(r)
	}
	x.store.FinishLoading(x.w.Now, false, 0)
	x.told = map[string][]uint64{}
	if len(x.roster.Members) == 0 {
		x.roster.Members = x.w.list(0)
	}
	x.goes = x.roster.Digests()
	x.b = New(Config{Name: x.name, Incarnation: x.life, Members: x.roster.Members, Previous: x.roster.Previous, ResumeUnclaimed: true}, x.store, x, x.w.r.Uint64(), x.w.Now)
	x.b.AddFences(x.fences)
	if x.lost {
		x.store.MarkOutdated(x.w.Now)
	}
	if !x.store.Complete() {
		x.refills()
	}
	x.tick()
	x.flush()
}

// refills has the others tell a box what its disk lacks.
func (x *box) refills() {
	c := recovery.RefillConfig{Incarnation: x.life}
	for _, y := range x.w.boxes {
		if y != x {
			c.Others = append(c.Others, y.name)
		}
	}
	x.refill = recovery.NewRefill[Cursor](c, x.w.r.Uint64())
	x.store.SetProver(func(key idempotency.Key) bool {
		if off == ruleEvery {
			return slices.ContainsFunc(x.b.GroupPeers(key), func(name string) bool { return x.refill.Covers([]string{name}) })
		}
		return x.refill.Covers(x.b.GroupPeers(key))
	})
}

// askPages carries questions for pages, and pages, over links that fail like all others.
func (x *box) askPages() {
	w := x.w
	if x.refill == nil || x.refill.Done() {
		return
	}
	for _, q := range x.refill.Tick(w.Now, x.Alive) {
		x.carry(q.To, func(y *box) {
			page := y.b.BuildPage(w.Now, x.name, PageRequest{x.life, q.From})
			fences := y.b.Fences()
			y.on(w.span(w.disk), func() {
				y.fences = fences
				y.b.AddFences(fences)
			})
			life := y.life
			y.carry(x.name, func(x *box) {
				info := recovery.PageInfo[Cursor]{Incarnation: page.Incarnation, From: page.From, Next: page.Next, Last: page.Next.Step == StepDone, Complete: page.Complete}
				if x.refill == nil || !x.b.SameConfiguration(&page) || !x.refill.Wants(y.name, life, &info) {
					return
				}
				x.refill.PageReceived(w.Now, y.name, &info, x.b.ReceivePage(w.Now, &page))
				if x.refill.Done() {
					w.log("%s/%d has been told all again", x.name, x.life)
					w.refills++
					x.store.MarkComplete(w.Now)
				}
			})
		})
	}
}

// carry has something reach another box as messages do.
func (x *box) carry(to string, do func(y *box)) {
	w, y := x.w, x.w.boxes[to[0]-'a']
	if w.cut[[2]int{x.n, y.n}] || w.r.Float64() < w.loss {
		return
	}
	w.After(w.span(2*time.Millisecond), func() {
		if y.up {
			y.on(0, func() { do(y) })
		}
	})
}

func (x *box) tick() {
	x.on(20*time.Millisecond, func() {
		x.b.Tick(x.w.Now)
		x.askPages()
		if x.w.moves {
			x.move()
		}
		x.tick()
	})
}

// list is the one before the change of members, or the one after it.
func (w *world) list(n int) (out []Member) {
	for _, o := range w.boxes {
		if !w.moves || n == 0 && o.n < len(w.boxes)-2 || n == 1 && o.n >= 2 {
			out = append(out, Member{Name: o.name, Zone: string('x' + rune(o.n%2))})
		}
	}
	return out
}

// done tells whether a box has come to the end of the change.
func (w *world) done(x *box) bool {
	return len(x.roster.Previous) == 0 && x.roster.Members[0].Name != "a"
}

const moveWait = 400 * time.Millisecond // past the time that a req is asked for, and that its callers wait

// move has a box go by other lists as soon as it may.
func (x *box) move() {
	w := x.w
	if w.Now < noon+100*time.Millisecond || w.done(x) {
		return
	}
	told := func(name string) []uint64 { return x.told[name] }
	if len(x.roster.Previous) > 0 && x.roster.Since == 0 && len(x.roster.NotAdopted(x.name, told)) == 0 {
		x.roster.Since = w.Now
	}
	to := Roster{Members: w.list(0)}
	if w.Now > noon+200*time.Millisecond+time.Duration(x.n)*20*time.Millisecond {
		to = Roster{Members: w.list(1), Previous: w.list(0)}
	}
	if x.roster.Since > 0 || off == ruleWait && len(x.roster.Previous) > 0 {
		to.Previous = nil
	}
	if next, err := x.roster.Next(w.Now, moveWait, to); err == nil && !slices.Equal(next.Digests(), x.goes) {
		x.roster, x.goes = next, next.Digests()
		x.b.Reconfigure(w.Now, next.Members, next.Previous)
		w.log("%s/%d goes by %d and %d", x.name, x.life, len(next.Members), len(next.Previous))
		if len(next.Previous) == 0 {
			w.moved++
		}
	}
}

// flush carries out what the box wants.
func (x *box) flush() {
	w := x.w
	if writes := x.store.TakeEntries(); len(writes) > 0 {
		x.waiting = append(x.waiting, writes...)
		n := len(x.waiting)
		x.on(w.span(w.disk), func() {
			n = min(n, len(x.waiting))
			if n == 0 {
				return
			}
			seq := x.waiting[n-1].Seq
			x.write(n)
			x.b.MarkDurable(w.Now, seq)
		})
	}
	for _, p := range x.b.ProcessorQueries() {
		x.on(w.span(4*time.Millisecond), func() {
			for _, e := range w.boxes[p.Node[0]-'a'].ends {
				x.b.FinishFromProcessor(w.Now, p.Node, e.run, e.kind, e.result)
			}
		})
	}
	for {
		sends, out := x.b.Ready()
		if len(sends)+len(out) == 0 {
			return
		}
		for _, s := range sends {
			x.send(s)
		}
		for _, o := range out {
			x.outcome(o)
		}
	}
}

func (x *box) send(s Envelope) {
	w, to := x.w, int(s.To[0]-'a')
	if w.cut[[2]int{x.n, to}] || w.r.Float64() < w.loss {
		return
	}
	life, m, goes := x.life, s.Message, x.goes
	times := 1
	if w.r.Float64() < w.loss {
		times = 2 // the same message again, later
	}
	for range times {
		d := w.span(2 * time.Millisecond)
		if !w.calm && w.r.IntN(200) == 0 {
			d += 3 * time.Second
		}
		w.After(d, func() {
			y := w.boxes[to]
			if !y.up {
				return
			}
			y.on(0, func() {
				y.known[x.n] = max(y.known[x.n], life)
				if life == y.known[x.n] {
					y.told[x.name] = goes
				}
				if !Compatible(goes, y.goes) {
					return
				}
				y.b.Receive(w.Now, x.name, life, &m)
			})
		})
	}
}

func (x *box) outcome(o Outcome) {
	w := x.w
	k := w.keys[o.Key]
	w.verdicts[o.Decision]++
	if o.Decision != idempotency.Duplicate && o.Decision != idempotency.Start && (o.Decision != idempotency.Fresh || x.ids[o.ID] == (idempotency.Key{})) {
		w.answered[o.ID] = true
	}
	w.log("%s/%d %x %d: verdict %d %q", x.name, x.life, o.Key[15], o.ID, o.Decision, o.Result)
	switch o.Decision {
	case idempotency.Fresh, TakenOver:
		if o.Decision == idempotency.Fresh && x.ids[o.ID] == (idempotency.Key{}) {
			return // refused: it had been let in before
		}
		delete(x.ids, o.ID)
		x.on(w.span(5*time.Millisecond), func() { // the module has it
			if k.replay {
				x.b.MarkRunning(w.Now, o.Key, o.ID)
				k.effects++
				result := fmt.Appendf(nil, "run %d of %x", k.effects, o.Key[15])
				x.on(w.span(20*time.Millisecond), func() { x.b.Finish(w.Now, o.Key, o.ID, idempotency.EntryResult, result) })
				w.answered[o.ID] = true
				return
			}
			if w.r.IntN(8) == 0 {
				x.b.Release(w.Now, o.Key, o.ID)
				w.answered[o.ID] = true
			} else {
				x.b.Start(w.Now, o.Key, o.ID, 0)
			}
		})
	case idempotency.Duplicate:
		if k.replay {
			return // it waits
		}
		delete(x.ids, o.ID)
		x.b.Join(w.Now, o.Key, o.ID)
	case idempotency.Start:
		if w.r.IntN(10) == 0 {
			x.b.Finish(w.Now, o.Key, o.ID, idempotency.EntryNeverRan, nil) // nobody waits any more
			w.answered[o.ID] = true
			return
		}
		k.effects++
		w.runs++
		if k.effects > 1 {
			w.broken("key %x ran twice, on %s/%d now", o.Key[15], x.name, x.life)
		}
		e := ended{o.ID, idempotency.EntryResult, fmt.Appendf(nil, "run %d of %x", w.runs, o.Key[15])}
		if w.r.IntN(12) == 0 {
			e.kind, e.result = idempotency.EntryFailed, nil
		}
		w.history = append(w.history, harness.HistoryEvent{Key: string(o.Key[:]), Ran: true, Result: string(e.result), Asked: int64(w.Now), Heard: int64(w.Now)})
		life := x.life
		w.After(w.span(20*time.Millisecond), func() {
			if w.lives || x.up && x.life == life {
				x.ends = append(x.ends, e)
			}
			if x.up && x.life == life {
				x.on(w.span(4*time.Millisecond), func() { x.b.Finish(w.Now, o.Key, o.ID, e.kind, e.result) })
				w.answered[o.ID] = w.answered[o.ID] || e.kind == idempotency.EntryFailed
			}
		})
	case idempotency.Completed, idempotency.Replay:
		if k.replay {
			w.replayed++
			return
		}
		w.heard(o, true)
		if k.answer == nil {
			k.answer, k.since = o.Result, w.Now
		}
		if !bytes.Equal(k.answer, o.Result) {
			w.broken("key %x: %q, and %q before", o.Key[15], o.Result, k.answer)
		}
	case idempotency.OutcomeUnknown, idempotency.OriginalFailed:
		w.heard(o, false)
		if at, ok := w.askedAt[o.ID]; ok && k.answer != nil && at > k.since { // who asked before may have been told what was so then
			w.broken("key %x was answered, and is %d now", o.Key[15], o.Decision)
		}
	}
}

// heard notes an answer for the history.
func (w *world) heard(o Outcome, served bool) {
	if at, ok := w.askedAt[o.ID]; ok && !w.keys[o.Key].replay {
		w.history = append(w.history, harness.HistoryEvent{Key: string(o.Key[:]), Served: served, Result: string(o.Result), Asked: int64(at), Heard: int64(w.Now)})
	}
}

func (w *world) ask() {
	key := idempotency.Key{13: 1, 15: byte(w.r.IntN(12))} // none is all zero
	key[14] = byte(w.Count() / 4000)
	left := time.Second
	if w.moves { // nobody asks for it again after a while
		key[14] = byte((w.Now - noon) / (200 * time.Millisecond))
		left = 300 * time.Millisecond
	}
	if w.keys[key] == nil {
		w.keys[key] = &truth{replay: key[15] >= 9}
	}
	w.keys[key].asked++
	for range 1 + w.r.IntN(2) { // two edge nodes at once
		x := w.boxes[w.r.IntN(len(w.boxes))]
		w.ids++
		id := w.ids
		if !x.up {
			continue
		}
		x.on(0, func() {
			x.ids[id], w.askedAt[id] = key, w.Now
			w.log("%s/%d %x %d: asked", x.name, x.life, key[15], id)
			x.b.Claim(w.Now, key, 0, id, Work{Handler: "file-claim", Left: int64(left), Replayable: w.keys[key].replay})
		})
	}
}

// loseDisk has a box come back with an older copy of its disk, or with an empty one.
func (x *box) loseDisk() {
	w := x.w
	n := w.r.IntN(len(x.disk) + 1)
	if w.r.IntN(2) == 0 {
		n = max(n, len(x.disk)-12)
	}
	w.log("%s/%d: its disk has %d of %d records", x.name, x.life, n, len(x.disk))
	x.disk, x.lost, x.fences = x.disk[:n], true, nil
	w.lost++
}

// star has all boxes hear nobody but one, which dies, loses what it had, and soon comes back: it may have given its word on what no other has
// heard of.
func (w *world) star(x *box) {
	w.log("star around %s", x.name)
	for i := range w.boxes {
		for k := range w.boxes {
			if way := [2]int{i, k}; i != x.n && k != x.n && i != k {
				w.cut[way] = true
				w.After(500*time.Millisecond+w.span(100*time.Millisecond), func() { delete(w.cut, way) })
			}
		}
	}
	w.After(w.span(40*time.Millisecond), func() {
		if !x.up {
			return
		}
		w.log("%s/%d dies", x.name, x.life)
		x.up = false
		x.loseDisk()
		w.After(w.span(10*time.Millisecond), x.start)
	})
}

// write has the first of what waits be on the disk.
func (x *box) write(n int) {
	for _, r := range x.waiting[:n] {
		x.lost = x.lost && r.Kind != idempotency.EntryHistoryLost
	}
	x.disk = append(x.disk, x.waiting[:n]...)
	x.waiting = x.waiting[n:]
}

// die has a box come back with what was confirmed, and perhaps some more.
func (x *box) die() {
	w := x.w
	if !x.up {
		return
	}
	w.log("%s/%d dies", x.name, x.life)
	w.found += x.b.Stats().FoundAtProcessor
	x.b.stats.FoundAtProcessor = 0
	x.up = false
	n := 0
	if len(x.waiting) > 0 && w.r.IntN(2) == 0 {
		n = w.r.IntN(len(x.waiting) + 1)
	}
	x.write(n)
	if w.loses && w.r.IntN(3) == 0 {
		x.loseDisk()
	}
	away := 300 * time.Millisecond
	if w.r.IntN(4) == 0 {
		away = time.Second
	}
	w.After(w.span(away), x.start)
}

// trouble is one fault.
func (w *world) trouble() {
	x := w.boxes[w.r.IntN(len(w.boxes))]
	if w.loses && w.r.IntN(3) == 0 {
		w.star(x)
		return
	}
	switch w.r.IntN(7) {
	case 0, 1:
		x.die()
	case 6: // some at once
		for _, x := range w.boxes {
			if w.r.IntN(2) == 0 {
				x.die()
			}
		}
	case 2:
		d := w.span(1500 * time.Millisecond)
		w.log("%s/%d stands still for %s", x.name, x.life, d)
		x.still = max(x.still, w.Now+d)
	case 3, 4:
		y := w.boxes[w.r.IntN(len(w.boxes))]
		if x == y {
			return
		}
		ways := [][2]int{{x.n, y.n}}
		if w.r.IntN(2) == 0 {
			ways = append(ways, [2]int{y.n, x.n})
		}
		for _, way := range ways {
			w.log("cut %v", way)
			w.cut[way] = true
			w.After(w.span(600*time.Millisecond), func() { delete(w.cut, way) })
		}
	case 5: // a side of the cluster cannot hear the other
		side := w.r.Uint64()
		w.log("split %b", side&(1<<len(w.boxes)-1))
		for i := range w.boxes {
			for k := range w.boxes {
				if way := [2]int{i, k}; side>>i&1 != side>>k&1 {
					w.cut[way] = true
					w.After(w.span(500*time.Millisecond), func() { delete(w.cut, way) })
				}
			}
		}
	}
}

// kind is what happens in a simulation beside the usual faults.
type kind uint8

const (
	usual  kind = iota
	moving      // the members change
	losing      // disks lose what they had confirmed
)

// newWorld has boxes up in one process, and nothing happening yet.
func newWorld(t testing.TB, seed uint64, n int, kind kind) *world {
	r := rand.New(rand.NewPCG(seed, 5))
	w := &world{
		t: t, r: r, seed: seed, EventQueue: harness.EventQueue{Now: noon}, cut: map[[2]int]bool{}, keys: map[idempotency.Key]*truth{}, verdicts: map[idempotency.Decision]int{},
		askedAt: map[uint64]time.Duration{}, answered: map[uint64]bool{},
	}
	w.loss, w.wrong = []float64{0, 0, 0.02, 0.1}[r.IntN(4)], []float64{0, 0.02, 0.3}[r.IntN(3)]
	w.disk = []time.Duration{4 * time.Millisecond, 60 * time.Millisecond}[r.IntN(2)]
	w.moves, w.loses = kind == moving, kind == losing
	if chosen := 3 + r.IntN(7); n == 0 {
		n = chosen
	}
	if w.moves {
		n = 5 + r.IntN(4)
	}
	for i := range n {
		w.boxes = append(w.boxes, &box{w: w, n: i, name: string(rune('a' + i))})
	}
	for _, x := range w.boxes {
		x.start()
	}
	w.lives = r.IntN(2) == 0
	if w.calm = seed >= calm; w.calm {
		w.loss, w.wrong, w.disk = 0, 0, 4*time.Millisecond
	}
	return w
}

// simulate plays a cluster for some seconds of its own time.
func simulate(t testing.TB, seed uint64, span time.Duration, kind kind) *world {
	w := newWorld(t, seed, 0, kind)
	r := w.r
	every := 10 + r.IntN(60)
	for at := time.Duration(0); at < span; at += w.span(20 * time.Millisecond) {
		w.After(at, w.ask)
		if !w.calm && r.IntN(every) == 0 {
			w.After(at, w.trouble)
		}
	}
	for w.Now < noon+span && w.bad == "" && w.Next(math.MaxInt64) {
	}
	for _, x := range w.boxes {
		w.found += x.b.Stats().FoundAtProcessor
	}
	if bad, ok := harness.Linearizable(w.history); !ok {
		w.broken("no order explains %x", bad)
	}
	return w
}

// sound ends a test where a rule was broken, with all that led there.
func (w *world) sound(t *testing.T) {
	t.Helper()
	if w.bad == "" {
		return
	}
	for _, line := range w.trace {
		t.Log(line)
	}
	t.Fatalf("seed %d: %s", w.seed, w.bad)
}

// TestClusters: whatever fails, no key runs twice, and who is answered is answered alike.
func TestClusters(t *testing.T) {
	verdicts, runs, asked, replayed, found := map[idempotency.Decision]int{}, 0, 0, 0, int64(0)
	for seed := range uint64(*schedules) {
		w := simulate(t, seed, 1200*time.Millisecond, usual)
		w.sound(t)
		runs += w.runs
		replayed += w.replayed
		found += w.found
		for v, n := range w.verdicts {
			verdicts[v] += n
		}
		for _, k := range w.keys {
			asked += k.asked
		}
	}
	t.Logf("%d clusters, %d asked, %d runs, %d ends told by processors, %d replayable ones joined, verdicts %v", *schedules, asked, runs, found,
		replayed, verdicts)
	if found == 0 || replayed == 0 {
		t.Error("no end was told by a processor, or no replayable req joined")
	}
	for _, v := range []idempotency.Decision{idempotency.Completed, idempotency.Replay, idempotency.OutcomeUnknown, TakenOver, NoQuorum} {
		if verdicts[v] == 0 {
			t.Errorf("verdict %d was never met", v)
		}
	}
}

const calm = 1 << 40 // seeds of clusters in which nothing fails

// TestCalm: where nothing fails each req is answered soon, also where two boxes are asked for a key in the same moment.
func TestCalm(t *testing.T) {
	for seed := range uint64(*schedules / 10) {
		const span = 1200 * time.Millisecond
		w := simulate(t, calm+seed, span, usual)
		for id, at := range w.askedAt {
			if at < noon+span-500*time.Millisecond && !w.answered[id] {
				w.broken("req %d, asked at %s, has no answer", id, at-noon)
				w.sound(t)
			}
		}
	}
}

// TestMembersChange: while boxes go over to another list one by one, under the same faults, no key runs twice.
func TestMembersChange(t *testing.T) {
	moved, runs := 0, 0
	for seed := range uint64(*schedules / 8) {
		w := simulate(t, seed, 2*time.Second, moving)
		w.sound(t)
		moved += w.moved
		runs += w.runs
	}
	t.Logf("%d clusters, %d runs, %d boxes came to the end of the change", *schedules/8, runs, moved)
	if moved == 0 {
		t.Error("no box came to the end")
	}
}

// TestDisksLost: boxes whose disks lose what they had confirmed are told it again by the others; under the same faults no key runs twice, and who
// was answered is answered alike.
func TestDisksLost(t *testing.T) {
	lost, refills, runs := 0, 0, 0
	for seed := range uint64(*schedules / 4) {
		w := simulate(t, seed, 2*time.Second, losing)
		w.sound(t)
		lost += w.lost
		refills += w.refills
		runs += w.runs
	}
	t.Logf("%d clusters, %d runs, %d disks lost something, %d boxes were told all again", *schedules/4, runs, lost, refills)
	if refills < lost/10 {
		t.Error("hardly any box was told all again")
	}
}

// TestReplays: a seed is one run, to the last word.
func TestReplays(t *testing.T) {
	for seed := range uint64(30) {
		what := []kind{usual, moving, losing}[seed%3]
		x, y := simulate(t, seed, 1200*time.Millisecond, what), simulate(t, seed, 1200*time.Millisecond, what)
		if diff := cmp.Diff(x.trace, y.trace); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// TestFence: a box gives its word on a begin, loses its disk and is told all again by others that had not heard of it; the holder adds that word to
// one of those others only if no fence says that it is void. Chance alone hardly ever comes to this.
func TestFence(t *testing.T) {
	defer func() { off = 0 }()
	twice := map[rule]int{}
	for _, off = range []rule{0, ruleFence} {
		for seed := range uint64(60) {
			w := newWorld(t, seed, 4, losing)
			w.loss, w.wrong, w.disk, w.calm = 0, 0, 4*time.Millisecond, true
			key := idempotency.Key{13: 1}
			w.keys[key] = &truth{}
			names := w.boxes[0].b.all(key)
			group := map[string]bool{}
			for _, name := range names {
				group[name] = true
			}
			var holder *box
			for _, x := range w.boxes {
				if !group[x.name] {
					holder = x
				}
			}
			of := func(i int) *box { return w.boxes[names[i][0]-'a'] }
			loses, left, right := of(0), of(1), of(2)
			cut := func(x, y *box, on bool) {
				w.cut[[2]int{x.n, y.n}], w.cut[[2]int{y.n, x.n}] = on, on
			}
			holder.on(0, func() { holder.b.Claim(w.Now, key, 0, 1, Work{Handler: "file-claim", Left: int64(2 * time.Second)}) })
			holder.ids[1] = key
			right.b.cfg.ResumeUnclaimed = false // it leaves the taking over to the left one
			var apart func()
			apart = func() { // all have granted it, and it has not begun
				if c := holder.b.claims[key]; c == nil || c.stage != holding {
					w.After(50*time.Microsecond, apart)
					return
				}
				cut(holder, left, true)
				cut(holder, right, true)
				cut(left, right, true)
			}
			w.After(0, apart)
			for at, do := range map[time.Duration]func(){
				20 * time.Millisecond: func() {
					loses.up, loses.disk, loses.lost, loses.fences = false, nil, true, nil
					w.After(5*time.Millisecond, loses.start)
				},
				400 * time.Millisecond: func() { cut(holder, right, false) },
			} {
				w.After(at, do)
			}
			for w.bad == "" && w.Next(noon+1200*time.Millisecond) {
			}
			if w.bad != "" {
				twice[off]++
			}
		}
	}
	if twice[0] > 0 || twice[ruleFence] == 0 {
		t.Error("ran twice in so many of 60, with the rule and without it: ", twice)
	}
	t.Log(twice)
}

// TestRulesAreNeeded: with one of the rules switched off, the schedules of CI find a broken one.
func TestRulesAreNeeded(t *testing.T) {
	defer func() { off = 0 }()
	for _, c := range []struct {
		off  rule
		name string
	}{
		{ruleMajority, "majority"},
		{ruleBallot, "ballot"},
		{ruleBegun, "begun"},
		{ruleDurable, "durable"},
		{ruleBefore, "list before"},
		{ruleWait, "wait"},
		{ruleWhole, "whole"},
		{ruleInHand, "in hand"},
		{rulePrints, "prints"},
		{ruleEvery, "every"},
	} {
		off = c.off
		found := false
		for seed := uint64(0); seed < uint64(*schedules) && !found; seed++ {
			what := usual
			switch {
			case c.off >= ruleFence:
				what = losing
			case c.off >= ruleBefore:
				what = moving
			}
			if w := simulate(t, seed, 1200*time.Millisecond, what); w.bad != "" {
				found = true
				t.Logf("%s off: seed %d: %s", c.name, seed, w.bad)
			}
		}
		if !found {
			t.Errorf("%s is off, and nothing is found", c.name)
		}
	}
}

// TestGroup: a key's group changes only by those that come or go, spreads over zones, and follows weights.
func TestGroup(t *testing.T) {
	var members []Member
	for i := range 9 {
		members = append(members, Member{Name: fmt.Sprint("n", i), Zone: fmt.Sprint(i % 3), Weight: 1 + float64(i/8)})
	}
	count, moved := map[string]int{}, 0
	for i := range 3000 {
		key := idempotency.Key{byte(i), byte(i >> 8), 9}
		g := Group(members, key, 3)
		zones := map[string]bool{}
		for _, name := range g {
			count[name]++
			zones[fmt.Sprint((name[1]-'0')%3)] = true
		}
		if len(g) != 3 || len(zones) != 3 {
			t.Fatal(g)
		}
		if h := Group(members[1:], key, 3); fmt.Sprint(g) != fmt.Sprint(h) {
			moved++
			if g[0] != "n0" && g[1] != "n0" && g[2] != "n0" {
				t.Fatal("moved without need: ", g, h)
			}
		}
	}
	if moved < 800 || moved > 1200 || count["n8"] < count["n7"]*5/4 || count["n0"] < 850 || count["n0"] > 1150 {
		t.Error(moved, count)
	}
}
