package main

import (
	"context"
	"fmt"
	"frosthub/internal/harness"
	"sync"
	"testing"
	"time"
)

// drainNodes is how many nodes drain side by side: as many as in the report that this test was made for.
const drainNodes = 5

// TestDrainAnswersAll drains real processes while edge nodes that have not heard of it go on asking on connections that carry many requests
// each, some of which run until the stop. Every request written whole before the end of its connection is owed an answer: the edge nodes'
// own record is the judge, since a node's book can't hold what it never entered.
func TestDrainAnswersAll(t *testing.T) {
	for i := range drainNodes {
		t.Run(fmt.Sprint("node ", i), func(t *testing.T) {
			t.Parallel()
			work := func(_ uint64, handler string) time.Duration {
				if handler == "file-claim" {
					return time.Minute // it stands until it is given up
				}
				return time.Millisecond
			}
			node := newTestNode(t, 8, work, "")
			node.process.ProcessorCores, node.process.StopMS = 8, 1500
			node.start()
			ledger := harness.NewExchangeLog()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var callers sync.WaitGroup
			callers.Go(func() {
				harness.EdgeNode{
					Name: "n1", Address: node.process.Listen, Conns: 4, Interval: 4 * time.Millisecond, Slots: 24, CostMS: 1, Body: "a field",
					Handlers:   []string{"status", "status", "status", "status", "status", "status", "status", "status", "status", "file-claim"},
					SplitShare: 0.2, SplitPause: 10 * time.Millisecond,
				}.Run(ctx, ledger, uint64(i))
			})
			time.Sleep(time.Duration(300+37*i) * time.Millisecond)
			if err := node.process.Drain(); err != nil {
				t.Error(err, node.process.Log())
			}
			stop()
			callers.Wait()
			lost := ledger.Violations()
			for _, line := range lost[:min(len(lost), 5)] {
				t.Error(line)
			}
			t.Logf("%d requests, %d lost, %d crossed the end of their connection", len(ledger.All()), len(lost), ledger.CrossedClose())
			if len(ledger.All()) < 100 {
				t.Error("too little was asked to tell anything")
			}
		})
	}
}
