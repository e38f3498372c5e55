package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is a box that loses its disk or parts of it, and others that remember of it what they were told, as far as their own disks do.
type fleet struct {
	others []*PeerStates
	names  []string
	disk   DiskState // as it would be read
	said   []PeerState
	mark   uint64
}

// rule is one that a test of the tests switches off.
type rule uint8

const (
	ruleLife  rule = iota + 1 // compare lives
	ruleSeq                   // compare records
	ruleBlank                 // who has no memory from before says nothing by knowing nothing
	ruleMost                  // most others must have answered
)

// bent is how a box goes on with a rule switched off.
func bent(off rule, a Answer) Answer {
	switch off {
	case ruleLife:
		a.Incarnation = 0
	case ruleSeq:
		a.Seq = 0
	case ruleBlank:
		a.Empty = false
	}
	return a
}

// live has the box write and tell for some lives, lose what it loses, and come back; what is wrong with how it does is returned.
func live(t *rapid.T, off rule) (wrong string) {
	n := rapid.IntRange(2, 6).Draw(t, "others")
	f := &fleet{said: make([]PeerState, n)}
	for i := range n {
		f.others, f.names = append(f.others, NewPeerStates(false)), append(f.names, fmt.Sprint("n", i))
	}
	blank := make([]bool, n)
	now := time.Hour
	for range rapid.IntRange(1, 6).Draw(t, "lives") {
		f.mark++
		b := New(Config{Mark: f.mark, Others: f.names, MajorityAfter: time.Second, DegradeAfter: time.Minute, RetryHorizon: time.Hour}, f.mark)
		b.StartLoading()
		f.disk.Incarnation++
		f.disk.New = f.disk.Incarnation == 1
		b.DiskLoaded(now, f.disk)
		newer, good, answered := false, 0, 0
		for i, m := range f.others {
			if rapid.IntRange(0, 3).Draw(t, "answers") == 0 {
				continue
			}
			a := m.Answer("me", f.mark)
			before := b.Phase()
			b.Receive(now, f.names[i], bent(off, a))
			answered++
			known := f.said[i] != PeerState{} && !blank[i]
			if known && (f.said[i].Incarnation >= f.disk.Incarnation || f.said[i].Incarnation+1 == f.disk.Incarnation && f.said[i].Seq > f.disk.Seq) {
				newer = true
			}
			if !blank[i] || f.disk.New {
				good++
			}
			if b.Phase() == Serving && newer {
				return fmt.Sprintf("it trusts a disk that others know to be older (was %s)", before)
			}
		}
		if b.Phase() == Serving && answered < n {
			return "it serves before all have answered or the time is over"
		}
		now += 2 * time.Second
		b.Tick(now)
		if off == ruleMost {
			b.TrustDisk()
		}
		switch {
		case newer && b.Phase() != Degraded:
			return "it trusts a disk that others know to be older"
		case !newer && b.Phase() == Serving && 2*good < n:
			return "it serves though too few could know"
		case !newer && b.Phase() == Querying && 2*good >= n:
			return "it waits though most have answered"
		}
		now += 2 * time.Minute
		b.Tick(now)
		if !b.Established() {
			return "it never comes back"
		}
		life := f.disk.Incarnation
		for _, a := range b.Ready() {
			life = max(life, a.Incarnation)
		}
		for i := range f.others {
			if newer && !blank[i] && f.said[i].Incarnation >= life && answered == n {
				return "its life is numbered as one before"
			}
		}
		f.disk.Incarnation = life
		for range rapid.IntRange(0, 5).Draw(t, "records") { // it writes, and tells some
			f.disk.Seq++
			for i, m := range f.others {
				if rapid.Bool().Draw(t, "told") {
					m.Update("me", f.mark, PeerState{f.disk.Incarnation, f.disk.Seq})
					f.said[i], blank[i] = PeerState{f.disk.Incarnation, f.disk.Seq}, false
				}
			}
		}
		switch rapid.IntRange(0, 3).Draw(t, "loss") {
		case 0: // the last records
			f.disk.Seq -= min(f.disk.Seq, rapid.Uint64Range(0, 3).Draw(t, "lost"))
		case 1: // an older copy
			f.disk.Incarnation -= min(f.disk.Incarnation, rapid.Uint64Range(0, 3).Draw(t, "older"))
			f.disk.Seq -= min(f.disk.Seq, rapid.Uint64Range(0, 6).Draw(t, "lost"))
		case 2: // another's memory, and this box's
			i := rapid.IntRange(0, n-1).Draw(t, "forgets")
			f.others[i], f.said[i], blank[i] = NewPeerStates(true), PeerState{}, true
		}
	}
	return ""
}

// TestReturns: whatever a box's disk has lost is found out by whoever answers and was told; who knows nothing does not reassure it; and it
// always comes back.
func TestReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := live(t, 0); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// TestRulesAreNeeded: with one of the rules switched off, something wrong is found.
func TestRulesAreNeeded(t *testing.T) {
	for off, name := range map[rule]string{ruleLife: "life", ruleSeq: "seq", ruleBlank: "blank", ruleMost: "most"} {
		wrong := ""
		example := rapid.Custom(func(t *rapid.T) string { return live(t, off) })
		for seed := range 2000 {
			if wrong = example.Example(seed); wrong != "" {
				t.Logf("%s off: found by example %d: %s", name, seed, wrong)
				break
			}
		}
		if wrong == "" {
			t.Errorf("%s is off, and nothing is found", name)
		}
	}
}

// TestMemories: late words of a process that is no more do not pass for those of the present one.
func TestMemories(t *testing.T) {
	m := NewPeerStates(true)
	if a := m.Answer("x", 1); !a.Empty {
		t.Error(a)
	}
	m.Update("x", 1, PeerState{1, 10})
	m.Update("x", 2, PeerState{2, 12})
	m.Update("x", 1, PeerState{1, 11})
	m.Update("x", 2, PeerState{2, 11})
	if a := m.Answer("x", 2); a.PeerState != (PeerState{1, 11}) || a.Empty {
		t.Error(a)
	}
	if a := m.Answer("x", 3); a.PeerState != (PeerState{2, 12}) {
		t.Error(a)
	}
}

// TestAsks: who has not answered is asked again ever more seldom, and a box that comes last is heeded.
func TestAsks(t *testing.T) {
	b := New(Config{Others: []string{"n2", "n3", "n4", "n5"}, RetryHorizon: time.Hour}, 3)
	b.StartLoading()
	b.DiskLoaded(0, DiskState{Incarnation: 4, Seq: 20})
	b.Receive(0, "n2", Answer{PeerState: PeerState{3, 20}})
	var text strings.Builder
	asked := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		b.Tick(now)
		for _, a := range b.Ready() {
			asked += len(a.Query)
			if a.To != a.From {
				fmt.Fprintf(&text, "%s: %s, %s\n", now, a.To, a.Reason)
			}
		}
		if now == 2*time.Second {
			b.Receive(now, "n9", Answer{PeerState: PeerState{9, 9}})
			b.Receive(now, "n3", Answer{PeerState: PeerState{3, 19}})
		}
		if now == 5*time.Second {
			b.Receive(now, "n4", Answer{PeerState: PeerState{3, 21}})
		}
	}
	want := "0s: reading, its store is read\n0s: asking, others are asked whether that is all\n2.01s: serving, most others know of nothing more\n" +
		"5.01s: serving in part, its disk is older than what n4 knows\n"
	if text.String() != want {
		t.Error(text.String())
	}
	if asked < 10 || asked > 25 {
		t.Error("asked ", asked)
	}
}
