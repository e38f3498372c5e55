package backend

import "testing"

// TestRequestStates checks that each state has a unique name, and that exactly the last three states have a run in
// progress.
func TestRequestStates(t *testing.T) {
	names := map[string]requestState{}
	for state := stateUnverified; state <= stateCalling; state++ {
		name := state.String()
		if other, taken := names[name]; taken || name == "" {
			t.Errorf("states %d and %d have the same name %q", state, other, name)
		}
		names[name] = state
		running := state == stateRunning || state == stateAwaitingCall || state == stateCalling
		if state.runInProgress() != running {
			t.Errorf("%v: runInProgress returns %v", state, state.runInProgress())
		}
	}
	if name := (stateCalling + 1).String(); name != "unknown state" {
		t.Errorf("an invalid state has the name %q", name)
	}
}
