package membership

import "testing"

// TestSupersedes checks which of two updates on the same node takes precedence.
func TestSupersedes(t *testing.T) {
	tests := []struct {
		name   string
		update Update
		other  Update
		want   bool
	}{
		{"same", Update{Incarnation: 1, State: Alive}, Update{Incarnation: 1, State: Alive}, false},
		{"later state", Update{Incarnation: 1, State: Suspect}, Update{Incarnation: 1, State: Alive}, true},
		{"earlier state", Update{Incarnation: 1, State: Alive}, Update{Incarnation: 1, State: Dead}, false},
		{"refutation", Update{Incarnation: 1, Refutation: 1, State: Alive}, Update{Incarnation: 1, State: Dead}, true},
		{"refuted suspicion", Update{Incarnation: 1, State: Dead}, Update{Incarnation: 1, Refutation: 1, State: Alive}, false},
		{"restart", Update{Incarnation: 2, State: Alive}, Update{Incarnation: 1, Refutation: 9, State: Left}, true},
		{"earlier incarnation", Update{Incarnation: 1, Refutation: 9, State: Left}, Update{Incarnation: 2, State: Alive}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.update.supersedes(test.other); got != test.want {
				t.Errorf("%v against %v: %v, want %v", test.update, test.other, got, test.want)
			}
		})
	}
}
