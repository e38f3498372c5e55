package wal_test

import (
	"fmt"
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"
)

// BenchmarkRead measures the time to read a store, per key. Each key has two log records.
func BenchmarkRead(b *testing.B) {
	const keys = 1_000_000
	cfg := idempotency.Config{
		MaxEntries:     1 << 21,
		MaxBytes:       1 << 30,
		MaxResultBytes: 1 << 16,
		ResultTTL:      time.Hour,
		RetryHorizon:   24 * time.Hour,
		MaxSegments:    64,
		KeysPerSegment: 1 << 17,
		SegmentBytes:   64 << 20,
	}
	disk := wal.DirDisk(b.TempDir())
	if err := wal.Init(disk, "n1", baseTime, 7); err != nil {
		b.Fatal(err)
	}
	store := idempotency.New(cfg)
	writer, _, err := wal.Open(disk, "n1", store, baseTime, nil)
	if err != nil {
		b.Fatal(err)
	}
	result := make([]byte, 100)
	for i := range keys {
		store.Reserve(baseTime, 0, testKey(i), "", uint64(i+1))
		store.Finish(baseTime, testKey(i), idempotency.EntryResult, result)
		if i%1000 == 999 {
			commit(b, store, writer)
		}
	}
	b.ResetTimer()
	for range b.N {
		restarted := idempotency.New(cfg)
		if _, err := wal.Read(disk, "n1", restarted, nil); err != nil || restarted.Stats().Keys != keys {
			b.Fatal(err, fmt.Sprintf("%+v", restarted.Stats()))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/key")
}
