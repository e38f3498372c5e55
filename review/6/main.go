//go:build review

// Command 6 shows a file-claim that runs twice after the link to the processor broke, at a site that doesn't allow interrupts.
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
	dir, err := os.MkdirTemp("", "case6")
	if err != nil {
		Fatal(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	const halt = "off" // interrupts are not allowed
	processor := &Processor{
		Halt:  halt,
		Log:   record.Line,
		Parts: func(string, string, string) []time.Duration { return []time.Duration{between(220, 320)} },
	}
	processor.OnBegin = func(id, class, _ string, earlierRuns int) {
		if earlierRuns > 0 {
			record.Break("%s %s runs for the %d. time", class, id, earlierRuns+1)
		}
	}
	if Trouble() {
		processor.PieceShare, processor.PiecePause = 0.3, 10*time.Millisecond
	}
	node := &Node{Dir: dir, Listen: FreeAddress()}
	settings := Settings(32, halt,
		Class("status", "retryable", 1, 3600, 1400, 0),
		Class("field-update", "retryable", 2, 4900, 1900, 0),
		Class("file-claim", "fragile", 3, 4900, 1900, 0))
	node.Platform = Platform("n1", node.Listen, processor.Listen(), "", settings)
	node.Start()
	edge := &Edge{Address: node.Listen}
	var callers sync.WaitGroup
	var served, other atomic.Int64
	stop := time.Now().Add(60 * time.Second)
	time.Sleep(500 * time.Millisecond)
	if Trouble() {
		go func() {
			for time.Now().Before(stop) {
				time.Sleep(between(400, 700))
				record.Line("the link to the processor breaks")
				processor.Break()
			}
		}()
	}
	for time.Now().Before(stop) {
		time.Sleep(between(8, 16))
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
	fmt.Printf("requests served %d, otherwise answered %d\n", served.Load(), other.Load())
	if served.Load() < 100 {
		Fatal(fmt.Errorf("only %d requests were served", served.Load()))
	}
	return record.Close()
}

// between returns a random time between two numbers of milliseconds.
func between(from, to float64) time.Duration {
	return time.Duration((from + rand.Float64()*(to-from)) * float64(time.Millisecond))
}
