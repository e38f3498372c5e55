package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"frosthub/internal/harness"
)

// drainNodes is the number of nodes that drain at the same time, the same as in the incident that TestDrainAnswersAll reproduces.
const drainNodes = 5

// TestDrainAnswersAll drains real processes while edge nodes that have not been notified continue to send on connections with many requests each,
// some of which run until the process ends. Every request that was written completely before the end of its connection must get a response. The test
// relies on the edge nodes' log, because the accounting of a node lacks requests that the node has not recorded.
func TestDrainAnswersAll(t *testing.T) {
	for i := range drainNodes {
		t.Run(fmt.Sprint("node ", i), func(t *testing.T) {
			t.Parallel()
			work := func(_ uint64, handler string) time.Duration {
				if handler == "file-claim" {
					return time.Minute // runs until it is interrupted
				}
				return time.Millisecond
			}
			node := newTestNode(t, 8, work, "")
			node.process.ProcessorCores, node.process.StopMS = 8, 1500
			node.start()
			exchanges := harness.NewExchangeLog()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var callers sync.WaitGroup
			callers.Go(func() {
				harness.EdgeNode{
					Name: "n1", Address: node.process.Listen, Conns: 4, Interval: 4 * time.Millisecond, Slots: 24, CostMS: 1, Body: "a field",
					Handlers:   []string{"status", "status", "status", "status", "status", "status", "status", "status", "status", "file-claim"},
					SplitShare: 0.2, SplitPause: 10 * time.Millisecond,
				}.Run(ctx, exchanges, uint64(i))
			})
			time.Sleep(time.Duration(300+37*i) * time.Millisecond)
			if err := node.process.Drain(); err != nil {
				t.Error(err, node.process.Log())
			}
			stop()
			callers.Wait()
			violations := exchanges.Violations()
			for _, line := range violations[:min(len(violations), 5)] {
				t.Error(line)
			}
			t.Logf("%d requests, %d violations, %d requests crossed the end of their connection", len(exchanges.All()), len(violations), exchanges.CrossedClose())
			if len(exchanges.All()) < 100 {
				t.Error("too few requests were sent for a valid result")
			}
		})
	}
}
