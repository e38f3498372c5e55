package failover

import (
	"fmt"
	"slices"
	"testing"

	"frosthub/idempotency"
)

// TestGroup checks that a key's group changes only if a member of it joins or
// leaves, that it spans several zones, and that it follows the weights.
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
			t.Fatal("group changed although the removed member is not in it: ", group, withoutFirst)
		}
	}
	if moved < 800 || moved > 1200 {
		t.Error("groups changed by the removal of one of nine members: ", moved)
	}
	if keysOf["n8"] < keysOf["n7"]*5/4 || keysOf["n0"] < 850 || keysOf["n0"] > 1150 {
		t.Error("keys per member: ", keysOf)
	}
}
