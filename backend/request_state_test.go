package backend

import "testing"

// TestRequestStates: each state has a name of its own, and the order of the states says which of them have a run.
func TestRequestStates(t *testing.T) {
	names := map[string]requestState{}
	for state := stateUnverified; state <= stateCalling; state++ {
		name := state.String()
		if other, taken := names[name]; taken || name == "" {
			t.Errorf("states %d and %d are both called %q", state, other, name)
		}
		names[name] = state
		running := state == stateRunning || state == stateAwaitingCall || state == stateCalling
		if state.runInProgress() != running {
			t.Errorf("%v: started is %v", state, state.runInProgress())
		}
	}
	if name := (stateCalling + 1).String(); name != "unknown state" {
		t.Errorf("a state that is none is called %q", name)
	}
}
