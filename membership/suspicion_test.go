package membership

import (
	"testing"
	"time"
)

// TestTransitions checks the transition table of Detector.apply: each event moves a peer to the state in the table or leaves its state
// unchanged.
func TestTransitions(t *testing.T) {
	const name = "peer"
	type step func(d *Detector, now time.Duration)
	observe := func(incarnation uint64) step {
		return func(d *Detector, now time.Duration) { d.Observe(now, name, incarnation) }
	}
	receiveUpdate := func(u Update) step {
		u.Name = name
		return func(d *Detector, now time.Duration) {
			d.Receive(now, "other", 1, &Message{Kind: Ack, Updates: []Update{u}})
		}
	}
	failProbe := func(d *Detector, now time.Duration) { d.suspect(now, name) }
	// expire passes a time after the end of any suspicion, and does not start probes as Tick does.
	expire := func(d *Detector, now time.Duration) { d.expireSuspicions(now + time.Hour) }

	suspected := Update{Incarnation: 1, State: Suspect}
	tests := []struct {
		name  string
		steps []step
		want  State
	}{
		{"no message", nil, Unknown},
		{"first message", []step{observe(1)}, Alive},
		{"failed probe of an unknown node", []step{failProbe}, Unknown},
		{"failed probe", []step{observe(1), failProbe}, Suspect},
		{"message while suspected", []step{observe(1), failProbe, observe(1)}, Suspect},
		{"refuted", []step{observe(1), failProbe, receiveUpdate(Update{Incarnation: 1, Refutation: 1, State: Alive})}, Alive},
		{"refuted before the suspicion times out", []step{observe(1), failProbe, receiveUpdate(Update{Incarnation: 1, Refutation: 1, State: Alive}), expire}, Alive},
		{"suspicion times out", []step{observe(1), failProbe, expire}, Dead},
		{"refuted after declared dead", []step{observe(1), failProbe, expire, receiveUpdate(Update{Incarnation: 1, Refutation: 1, State: Alive})}, Alive},
		{"message from the dead incarnation", []step{observe(1), failProbe, expire, observe(1)}, Dead},
		{"restarted", []step{observe(1), failProbe, expire, observe(2)}, Alive},
		{"suspected by another node", []step{observe(1), receiveUpdate(suspected)}, Suspect},
		{"earlier incarnation suspected by another node", []step{observe(2), receiveUpdate(suspected)}, Alive},
		{"left", []step{observe(1), receiveUpdate(Update{Incarnation: 1, State: Left})}, Left},
		{"suspected after it left", []step{observe(1), receiveUpdate(Update{Incarnation: 1, State: Left}), receiveUpdate(suspected)}, Left},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(Config{Name: "me", Incarnation: 1, Others: []string{name, "other"}}, 1, 0)
			for i, step := range test.steps {
				step(d, time.Duration(i)*time.Millisecond)
			}
			if got := d.Lookup(name).State; got != test.want {
				t.Errorf("state %s, want %s", got, test.want)
			}
		})
	}
}
