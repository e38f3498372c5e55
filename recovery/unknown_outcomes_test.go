package recovery

import (
	"testing"
	"time"
)

// TestUnknownOutcomes checks that keys are queried in batches and at growing intervals, until their outcome is known or the maximum number
// of queries is reached.
func TestUnknownOutcomes(t *testing.T) {
	var keys [][16]byte
	for i := range 40 {
		keys = append(keys, [16]byte{byte(i)})
	}
	outcomes := NewUnknownOutcomes(keys)
	queries := map[byte]int{}
	unknown := func(key [16]byte) bool { return key[0] != 3 || queries[3] < 2 }
	for now := time.Duration(0); outcomes.Remaining() > 0; now += 10 * time.Millisecond {
		if now > time.Hour {
			t.Fatal("the queries never end; remaining keys: ", outcomes.Remaining())
		}
		batch := outcomes.Tick(now, unknown)
		for _, key := range batch {
			queries[key[0]]++
		}
		if len(batch) > outcomeBatchSize {
			t.Fatal("keys in one batch: ", len(batch))
		}
		if now == 100*time.Millisecond && len(queries) != 40 {
			t.Error("keys queried in the first 100 ms: ", len(queries))
		}
	}
	if queries[3] != 2 || queries[4] != maxOutcomeQueries {
		t.Error(queries)
	}
}
