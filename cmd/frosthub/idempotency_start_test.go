package main

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/wal"
)

var idempotencyKeys = flag.Int("keepkeys", 20000, "number of keys in the idempotency log that a node reads at its start; 1000000 outside CI")

// fillStore writes an idempotency log with the given number of keys. The newest ones, as many as entries, keep their results; the others become
// fingerprints.
func fillStore(t *testing.T, dir string, entries, keys, segmentKeys int) {
	t.Helper()
	config := idempotency.Config{
		MaxEntries: entries, MaxBytes: entries*100 + 1<<20, MaxResultBytes: 1 << 16, ResultTTL: time.Hour,
		RetryHorizon: 24 * time.Hour, MaxSegments: 1000, KeysPerSegment: segmentKeys, SegmentBytes: 64 << 20,
	}
	guard, disk := idempotency.New(config), wal.DirDisk(dir)
	now := time.Duration(time.Now().UnixNano())
	log, _, err := wal.Open(disk, "n1", guard, now, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range keys {
		key := idempotency.Key{0: 1, 8: byte(i >> 16), 9: byte(i >> 8), 10: byte(i)}
		guard.Reserve(now, 0, key, "file-claim", uint64(i+1))
		guard.Finish(now, key, idempotency.EntryResult, []byte("a result of some bytes"))
		if i%1000 == 0 || i == keys-1 {
			seq, err := log.Commit(guard.TakeEntries())
			if err != nil {
				t.Fatal(err)
			}
			guard.MarkDurable(seq)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestIdempotencyStartTime measures how long a node takes to read its idempotency log at the start. It compares an empty and a small log with an
// earlier program, and reads logs with 1, 10 and 20 times as many keys as the node may keep.
func TestIdempotencyStartTime(t *testing.T) {
	if *idempotencyPairs == 0 || *baseline == "" {
		t.Skip("runs only with -keeppairs and -baseline")
	}
	const entries = 20000
	conf := idempotencyConf + fmt.Sprintf("keep entries %d\nkeep bytes %d\n", entries, entries*100+1<<20)
	timeToRead := func(program string, keys int) (time.Duration, int) {
		node, dir := newIdempotentNode(t, 2, constantWork(time.Millisecond), conf)
		if keys > 0 {
			fillStore(t, dir, max(entries, keys), keys, entries/8)
		}
		node.process.Binary = program
		started := time.Now()
		if err := node.process.Launch(); err != nil {
			t.Fatal(err)
		}
		for !strings.Contains(node.process.Log(), "took=") {
			if time.Since(started) > 20*time.Second {
				t.Fatal(node.process.Log())
			}
			time.Sleep(100 * time.Microsecond)
		}
		took := time.Since(started)
		kb, err := node.process.PeakResident()
		if err != nil {
			t.Fatal(err)
		}
		if err := node.process.Drain(); err != nil {
			t.Fatal(err)
		}
		return took, kb / 1024
	}
	for _, keys := range []int{0, 500} {
		var ratios []float64
		for range *idempotencyPairs {
			current, _ := timeToRead(binary, keys)
			earlier, _ := timeToRead(*baseline, keys)
			ratios = append(ratios, current.Seconds()/earlier.Seconds())
		}
		slices.Sort(ratios)
		t.Logf("%d keys: time to read the log, relative to the earlier program: %.2f, median %.2f", keys, ratios, ratios[len(ratios)/2])
	}
	for _, keys := range []int{entries, 10 * entries, 20 * entries} {
		took, mb := timeToRead(binary, keys)
		t.Logf("%d keys, limit %d: log read within %s, peak resident memory %d MB", keys, entries, took, mb)
	}
}

// TestIdempotencyStartManyKeys starts a node with many keys in its idempotency log. It must serve replayable requests within a second. It
// rejects guarded requests until it has read the log, and must then have all keys.
func TestIdempotencyStartManyKeys(t *testing.T) {
	node, dir := newIdempotentNode(t, 2, constantWork(time.Millisecond), idempotencyConf+fmt.Sprintf("keep entries %d\nkeep bytes %d\n", *idempotencyKeys+1000, *idempotencyKeys*100+1<<20))
	fillStore(t, dir, *idempotencyKeys+1000, *idempotencyKeys, *idempotencyKeys/8+16)
	node.start()
	defer node.kill()
	started := time.Now()
	client := fake.NewFastCGIClient(node.process.Listen)
	defer client.Close()
	first := map[string]time.Duration{} // time to the first served request, by handler
	rejected := 0
	for n := uint64(1); len(first) < 2; n++ {
		if time.Since(started) > time.Minute {
			t.Fatal("requests of a handler are not served; served so far: ", first, node.process.Log())
		}
		for i, handler := range []string{"status", "file-claim"} {
			if first[handler] > 0 {
				continue
			}
			request := fake.Request{ID: n<<8 + uint64(i) + 1, Handler: handler, Start: time.Now().UnixMilli(), Body: "new", CostMS: 1}
			switch client.Send(&request, time.Second) {
			case fake.Served:
				first[handler] = time.Since(started)
			case fake.Rejected:
				if first["status"] > 0 {
					rejected++
				}
			}
		}
	}
	t.Logf("%d keys: replayable served after %s, guarded after %s; %d guarded rejected in between", *idempotencyKeys, first["status"], first["file-claim"],
		rejected)
	if !strings.Contains(node.process.Log(), fmt.Sprintf("keys=%d ", *idempotencyKeys)) {
		t.Error(node.process.Log())
	}
	if first["status"] > time.Second {
		t.Error("replayable requests were not served within a second")
	}
}
