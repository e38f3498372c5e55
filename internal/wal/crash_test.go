package wal_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/wal"
	"math/rand/v2"
	"testing"
	"time"
)

var cuts = flag.Int("cuts", 600, "histories with power lost by chance; 100000 outside CI")

// small has segments that fill, retire and go within a hundred reqs.
var small = idempotency.Config{
	MaxEntries: 20, MaxBytes: 600, MaxResultBytes: 64, ResultTTL: 20 * time.Second, RetryHorizon: 160 * time.Second, MaxSegments: 24,
	KeysPerSegment: 12, SegmentBytes: 1500,
}

const noon = 500_000 * time.Hour

func keyOf(n int) (k idempotency.Key) {
	binary.BigEndian.PutUint64(k[8:], uint64(n))
	return k
}

// lab is a box without sockets: a store on a disk, a processor that counts effects, and callers that repeat.
type lab struct {
	t    *testing.T
	r    *rand.Rand
	disk *fake.Disk
	now  time.Duration
	note string

	s *idempotency.Store
	w *wal.Writer

	ids     uint64
	keyOf   map[uint64]int
	running []uint64
	effects map[int]int
	answers map[int][]byte
	first   map[int]time.Duration // when a key was first made
	doubted int
	keys    int
	offered [16]int
}

func newLab(t *testing.T, seed uint64, note string) *lab {
	l := &lab{
		t: t, r: rand.New(rand.NewPCG(seed, 3)), disk: fake.NewDisk(), now: noon, note: note, keyOf: map[uint64]int{},
		effects: map[int]int{}, answers: map[int][]byte{}, first: map[int]time.Duration{},
	}
	if err := wal.Init(l.disk, "n1", noon, seed); err != nil {
		t.Fatal(err)
	}
	return l
}

func (l *lab) fatal(format string, args ...any) {
	l.t.Helper()
	l.t.Fatalf("%s: %s", l.note, fmt.Sprintf(format, args...))
}

// start reads the disk; it may lose power in that.
func (l *lab) start() bool {
	l.s, l.running, l.keyOf = idempotency.New(small), nil, map[uint64]int{}
	w, found, err := wal.Open(l.disk, "n1", l.s, l.now, nil)
	if err != nil && !errors.Is(err, fake.ErrPowerLost) {
		l.fatal("reading: %v", err)
	}
	if !found.Complete() {
		l.fatal("what was only cut is taken for damage: %v", found.Damage)
	}
	l.w = w
	return err == nil && l.commit()
}

func (l *lab) commit() bool {
	seq, err := l.w.Commit(l.s.TakeEntries())
	if err != nil {
		if !errors.Is(err, fake.ErrPowerLost) {
			l.fatal("%v", err)
		}
		return false
	}
	l.heed(l.s.MarkDurable(seq))
	return true
}

func resultOf(key int) []byte { return fmt.Appendf(nil, "claim %d is filed, %x", key, key*key) }

func (l *lab) heed(all []idempotency.Outcome) {
	for _, o := range all {
		key := l.keyOf[o.ID]
		l.offered[o.Decision]++
		switch o.Decision {
		case idempotency.Start:
			if l.effects[key]++; l.effects[key] > 1 {
				l.fatal("key %d ran twice", key)
			}
			l.running = append(l.running, o.ID)
		case idempotency.Completed, idempotency.Replay:
			if !bytes.Equal(o.Result, resultOf(key)) {
				l.fatal("key %d: %q, not the first answer", key, o.Result)
			}
			l.answers[key] = o.Result
		case idempotency.OutcomeUnknown:
			if l.answers[key] != nil {
				l.fatal("key %d was answered, and is in doubt now", key)
			}
			l.doubted++
		case idempotency.HistoryLost:
			l.fatal("key %d: nothing is lost, and nobody can tell", key)
		case idempotency.StoreFull, idempotency.StoreFailed, idempotency.Fresh:
			if l.effects[key] > 0 {
				l.fatal("key %d ran and is refused", key)
			}
		}
	}
}

// step is one thing that happens, as the seed has it.
func (l *lab) step() bool {
	l.now += time.Duration(l.r.IntN(1500)) * time.Millisecond
	switch n := l.r.IntN(10); {
	case n < 4: // a fresh claim, or a repeat within the horizon
		key := l.keys
		if l.keys == 0 || l.r.IntN(2) == 0 {
			l.keys++
			key = l.keys
			l.first[key] = l.now
		} else if key = l.keys - l.r.IntN(min(l.keys, 60)); l.now-l.first[key] > small.RetryHorizon-time.Second {
			return true
		}
		l.ids++
		l.keyOf[l.ids] = key
		l.heed([]idempotency.Outcome{l.s.Reserve(l.now, l.first[key], keyOf(key), "", l.ids)})
	case n < 7 && len(l.running) > 0:
		i := l.r.IntN(len(l.running))
		id := l.running[i]
		l.running = append(l.running[:i], l.running[i+1:]...)
		key := l.keyOf[id]
		switch l.r.IntN(12) {
		case 0:
			l.heed(l.s.Finish(l.now, keyOf(key), idempotency.EntryFailed, nil))
		case 1:
			l.effects[key]--
			l.heed(l.s.Finish(l.now, keyOf(key), idempotency.EntryNeverRan, nil))
		default:
			l.heed(l.s.Finish(l.now, keyOf(key), idempotency.EntryResult, resultOf(key)))
		}
	case n < 9:
		return l.commit()
	default:
		l.s.Sweep(l.now)
	}
	return true
}

// play takes so many steps; where the power goes, it comes back, and all goes on.
func (l *lab) play(steps int) {
	up := l.start()
	for range steps {
		if up {
			up = l.step()
		}
		for !up {
			l.disk = l.disk.AfterPowerLoss(l.r)
			if l.r.IntN(3) == 0 {
				l.disk.PowerBudget = 1 + l.r.IntN(6) // again, while it comes back
			}
			l.now += time.Duration(l.r.IntN(5)-1) * time.Second
			up = l.start()
		}
	}
}

// TestEveryCut loses power at each operation of a scripted history of some hundred reqs, and goes on.
func TestEveryCut(t *testing.T) {
	const steps = 700
	whole := newLab(t, 1, "no cut")
	whole.play(steps)
	ops := whole.disk.Operations()
	if whole.keys < 100 || ops < 300 || whole.offered[idempotency.ResultExpired] == 0 || whole.offered[idempotency.Replay] == 0 {
		t.Fatal("the script shows too little: ", whole.keys, ops, whole.offered)
	}
	doubts := 0
	for cut := 1; cut <= ops; cut++ {
		l := newLab(t, 1, fmt.Sprint("cut at operation ", cut))
		l.disk.PowerBudget = cut
		l.play(steps)
		doubts += l.doubted
	}
	t.Logf("%d keys, %d operations, each cut; verdicts without a cut %v; %d answers in doubt in all", whole.keys, ops, whole.offered, doubts)
	if doubts == 0 {
		t.Error("no cut left anything in doubt")
	}
}

// TestCutsByChance does the same with other histories, and power that goes again and again.
func TestCutsByChance(t *testing.T) {
	lost, doubts := 0, 0
	for seed := range uint64(*cuts) {
		l := newLab(t, seed+2, fmt.Sprint("seed ", seed+2))
		l.disk.PowerBudget = 1 + l.r.IntN(60)
		up := l.start()
		for range 300 {
			if up {
				up = l.step()
			}
			for !up {
				lost++
				l.disk = l.disk.AfterPowerLoss(l.r)
				l.disk.PowerBudget = 1 + l.r.IntN(90)
				up = l.start()
			}
		}
		doubts += l.doubted
	}
	t.Logf("%d histories, power lost %d times, %d answers in doubt", *cuts, lost, doubts)
}
