//go:build review

// Command 6 kills a node with a store of results in four starts one after the other, and then repeats the claims that it has served before.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "frosthub/review/standin2"
)

const (
	claims   = 2000
	repeats  = 20               // claims that are repeated in the end
	callers  = 24               // callers at a time
	tries    = 14               // fresh boxes that are tried one after the other
	timeLeft = 95 * time.Second // no further try begins after that
)

func main() { os.Exit(play()) }

func play() int {
	record := NewRecord()
	defer StopAll()
	begun := time.Now()
	total := counts{}
	for try := 1; try <= tries && time.Since(begun) < timeLeft; try++ {
		got := onBox(record, try)
		total.same += got.same
		total.failed += got.failed
		total.other += got.other
		total.twice += got.twice
		if got.twice > 0 || !Trouble() {
			break
		}
	}
	fmt.Printf("repeats: %d got the first answer, %d were answered as failed, %d got another answer; claims that ran twice: %d\n",
		total.same, total.failed, total.other, total.twice)
	return record.Close()
}

// counts counts the repeats by their answers, and the claims that ran twice.
type counts struct{ same, failed, other, twice int }

// box is one node with its processor and its store.
type box struct {
	record    *Record
	node      *Node
	processor *Processor
	store     string

	mu      sync.Mutex
	effects map[string]int    // runs of each claim
	first   map[string]string // first answer to each claim that was served
}

func onBox(record *Record, try int) (got counts) {
	dir := MkdirTemp("case6")
	defer func() { _ = os.RemoveAll(dir) }()
	b := newBox(record, dir)
	b.node.Start()
	time.Sleep(400 * time.Millisecond)
	b.serveAll()
	if len(b.first) < claims/2 {
		Fatal(fmt.Errorf("only %d claims were served", len(b.first)))
	}
	record.Line("box %d: %d claims served", try, len(b.first))
	if Trouble() {
		b.killInStarts()
	} else {
		b.node.Stop()
	}
	b.node.Start()
	time.Sleep(time.Second)
	edge := &Edge{Address: b.node.Listen}
	for i := 0; i < claims; i += claims / repeats {
		claim := fmt.Sprint("claim ", i)
		if b.first[claim] == "" {
			continue
		}
		answer := b.send(edge, claim)
		for deadline := time.Now().Add(2 * time.Second); answer.Status == 503 && time.Now().Before(deadline); {
			time.Sleep(100 * time.Millisecond)
			answer = b.send(edge, claim)
		}
		switch {
		case answer.Status == 200 && answer.Body == b.first[claim]:
			got.same++
		case answer.Status == 200:
			got.other++
			record.Break("a repeat of %s, served with %q, is served with %q", claim, b.first[claim], answer.Body)
		default:
			got.failed++
			record.Break("a repeat of %s, which was served, is answered with status %d", claim, answer.Status)
		}
		if b.effects[claim] > 1 {
			got.twice++
		}
	}
	b.node.Stop()
	return got
}

func newBox(record *Record, dir string) *box {
	b := &box{record: record, store: filepath.Join(dir, "keep"), effects: map[string]int{}, first: map[string]string{}}
	if out, err := Command("keep", "init", "--box", "n1", b.store); err != nil {
		Fatal(fmt.Errorf("keep init: %w: %s", err, out))
	}
	b.processor = &Processor{
		Halt:  "discard",
		Log:   func(string, ...any) {},
		Parts: func(string, string, string) []time.Duration { return []time.Duration{2 * time.Millisecond} },
		OnBegin: func(id, _, claim string, _ int) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.effects[claim]++
			record.Line("processor runs %s of %s", id, claim)
			if b.effects[claim] > 1 {
				record.Break("%s runs for the %d. time, as %s", claim, b.effects[claim], id)
			}
		},
	}
	settings := Settings(32, "discard",
		Class("status", "retryable", 1, 3600, 1400, 0),
		Class("field-update", "retryable", 2, 4900, 1900, 0),
		Class("file-claim", "fragile", 3, 4900, 1900, 0))
	b.node = &Node{Dir: dir, Listen: FreeAddress()}
	b.node.Operator = "keep dir " + b.store + "\nkeep key-field X-Claim\nkeep handler file-claim by field\n"
	b.node.Platform = Platform("n1", b.node.Listen, b.processor.Listen(), "", settings)
	return b
}

// send sends one attempt of a claim, under an id of its own.
func (b *box) send(edge *Edge, claim string) Answer {
	r := &Request{ID: NewID(), Class: "file-claim", Body: claim, Fields: map[string]string{"X-Claim": claim}}
	b.processor.Came(r.ID)
	b.record.Line("client    > %s %s", r.ID, claim)
	answer, _ := edge.Do(r, 6*time.Second)
	b.processor.Over(r.ID)
	b.record.Line("client    < %s %s: status %d %s", r.ID, claim, answer.Status, answer.Body)
	return answer
}

// serveAll sends all claims and keeps the answers of those that are served.
func (b *box) serveAll() {
	edge := &Edge{Address: b.node.Listen}
	next := make(chan string)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for claim := range next {
				if answer := b.send(edge, claim); answer.Status == 200 {
					b.mu.Lock()
					b.first[claim] = answer.Body
					b.mu.Unlock()
				}
			}
		})
	}
	for i := range claims {
		next <- fmt.Sprint("claim ", i)
	}
	close(next)
	all.Wait()
}

// killInStarts kills the node, then in three starts while it reads its store, then once more as soon as the fourth start has put the
// records aside.
func (b *box) killInStarts() {
	b.node.Kill()
	for i := range 3 {
		b.node.Launch()
		reads := waitFor(func() bool { return b.countedStarts() == fmt.Sprint(i+1) })
		b.node.Kill()
		b.record.Line("the node is killed in start %d, it read its store: %v", i+1, reads)
	}
	b.node.Launch()
	putAside := waitFor(func() bool { return b.hasAside() && b.countedStarts() != "3" })
	b.node.Kill()
	b.record.Line("the node is killed in start 4, it had put its records aside: %v", putAside)
}

// countedStarts returns the number of starts that the node has counted beside its store.
func (b *box) countedStarts() string {
	text, _ := os.ReadFile(filepath.Join(b.store, "reading"))
	return strings.TrimSpace(string(text))
}

// hasAside reports whether the node has put records aside.
func (b *box) hasAside() bool {
	names, _ := os.ReadDir(b.store)
	for _, name := range names {
		if strings.HasSuffix(name.Name(), ".aside") {
			return true
		}
	}
	return false
}

// waitFor waits for something, for three seconds at most, and reports whether it has happened.
func waitFor(happened func() bool) bool {
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Microsecond) {
		if happened() {
			return true
		}
	}
	return false
}
