//go:build review

// Command 9 shows a reply that reaches the wrong call of a run after the link to the processor broke.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "frosthub/review/standin2"
)

func main() { os.Exit(play()) }

func play() int {
	record := NewRecord()
	defer StopAll()
	dir, err := os.MkdirTemp("", "case9")
	if err != nil {
		Fatal(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	upstream := &Upstream{Log: record.Line, Delay: func() time.Duration { return between(4, 12) }}
	var answers, wrong atomic.Int64
	processor := &Processor{
		Halt:     "discard",
		Log:      record.Line,
		CallBody: func(id string, number int) string { return fmt.Sprintf("call %d of %s", number, id) },
		Parts: func(string, string, string) []time.Duration {
			return []time.Duration{between(5, 20), between(5, 20), between(5, 20)}
		},
	}
	processor.OnAnswer = func(id string, number int, body string) {
		answers.Add(1)
		if body != Reply(processor.CallBody(id, number)) {
			wrong.Add(1)
			record.Break("the run of %s waits for the reply to its call %d and gets %q", id, number, body)
		}
	}
	if Trouble() {
		processor.PieceShare, processor.PiecePause = 0.3, 5*time.Millisecond
	}
	node := &Node{Dir: dir, Listen: FreeAddress()}
	settings := Settings(6, "discard",
		Class("status", "retryable", 1, 3600, 1400, 0),
		Class("field-update", "retryable", 2, 4900, 1900, 0),
		Class("file-claim", "fragile", 3, 4900, 1900, 0))
	node.Platform = Platform("n1", node.Listen, processor.Listen(), upstream.Listen(), settings)
	node.Start()
	edge := &Edge{Address: node.Listen}
	var callers sync.WaitGroup
	var served, other atomic.Int64
	stop := time.Now().Add(25 * time.Second)
	time.Sleep(500 * time.Millisecond)
	if Trouble() {
		go func() {
			for time.Now().Before(stop) {
				time.Sleep(between(400, 800))
				record.Line("the link to the processor breaks")
				processor.Break()
			}
		}()
	}
	for time.Now().Before(stop) {
		time.Sleep(between(5, 15))
		callers.Go(func() {
			r := &Request{ID: NewID(), Class: "file-claim"}
			r.Body = "claim " + r.ID
			processor.Came(r.ID)
			record.Line("client    > %s %s", r.Class, r.ID)
			answer, _ := edge.Do(r, 5*time.Second)
			processor.Over(r.ID)
			record.Line("client    < %s status %d", r.ID, answer.Status)
			if answer.Status == 200 {
				served.Add(1)
			} else {
				other.Add(1)
			}
		})
	}
	callers.Wait()
	node.Stop()
	fmt.Printf("requests served %d, otherwise answered %d; replies that runs got %d, wrong ones %d\n", served.Load(), other.Load(), answers.Load(), wrong.Load())
	if served.Load() < 200 {
		Fatal(fmt.Errorf("only %d requests were served", served.Load()))
	}
	return record.Close()
}

// between returns a random time between two numbers of milliseconds.
func between(from, to float64) time.Duration {
	return time.Duration((from + rand.Float64()*(to-from)) * float64(time.Millisecond))
}
