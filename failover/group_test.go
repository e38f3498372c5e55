package failover

import (
	"fmt"
	"slices"
	"testing"

	"frosthub/idempotency"
)

// TestGroup: a key's group changes only by members that join or leave, spreads
// over zones, and follows weights.
func TestGroup(t *testing.T) {
	var members []Member
	for i := range 9 {
		members = append(members, Member{
			Name:   fmt.Sprint("n", i),
			Zone:   fmt.Sprint(i % 3),
			Weight: 1 + float64(i/8), // n8 has twice the weight of the others
		})
	}
	keysOf := map[string]int{}
	moved := 0
	for i := range 3000 {
		key := idempotency.Key{byte(i), byte(i >> 8), 9}
		group := Group(members, key, 3)
		zones := map[string]bool{}
		for _, name := range group {
			keysOf[name]++
			zones[fmt.Sprint((name[1]-'0')%3)] = true
		}
		if len(group) != 3 || len(zones) != 3 {
			t.Fatal(group)
		}
		withoutFirst := Group(members[1:], key, 3)
		if slices.Equal(group, withoutFirst) {
			continue
		}
		moved++
		if !slices.Contains(group, "n0") {
			t.Fatal("moved without need: ", group, withoutFirst)
		}
	}
	if moved < 800 || moved > 1200 {
		t.Error("groups that moved with one of nine members: ", moved)
	}
	if keysOf["n8"] < keysOf["n7"]*5/4 || keysOf["n0"] < 850 || keysOf["n0"] > 1150 {
		t.Error("keys of members: ", keysOf)
	}
}
