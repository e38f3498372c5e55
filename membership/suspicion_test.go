package membership

import (
	"testing"
	"time"
)

// TestTransitions checks the table of Detector.apply: each event leads a peer to the state that it names, or nowhere.
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
	// expire is past the end of any suspicion, without the probes that Tick begins.
	expire := func(d *Detector, now time.Duration) { d.expireSuspicions(now + time.Hour) }

	suspected := Update{Incarnation: 1, State: Suspect}
	tests := []struct {
		name  string
		steps []step
		want  State
	}{
		{"never heard of", nil, Unknown},
		{"first message", []step{observe(1)}, Alive},
		{"failed probe of an unknown node", []step{failProbe}, Unknown},
		{"failed probe", []step{observe(1), failProbe}, Suspect},
		{"message while suspected", []step{observe(1), failProbe, observe(1)}, Suspect},
		{"refuted", []step{observe(1), failProbe, receiveUpdate(Update{Incarnation: 1, Refutation: 1, State: Alive})}, Alive},
		{"refuted, and the suspicion would be over", []step{observe(1), failProbe, receiveUpdate(Update{Incarnation: 1, Refutation: 1, State: Alive}), expire}, Alive},
		{"not refuted", []step{observe(1), failProbe, expire}, Dead},
		{"refuted when dead", []step{observe(1), failProbe, expire, receiveUpdate(Update{Incarnation: 1, Refutation: 1, State: Alive})}, Alive},
		{"message of the dead incarnation", []step{observe(1), failProbe, expire, observe(1)}, Dead},
		{"restarted", []step{observe(1), failProbe, expire, observe(2)}, Alive},
		{"suspected by another", []step{observe(1), receiveUpdate(suspected)}, Suspect},
		{"suspected by another in an earlier incarnation", []step{observe(2), receiveUpdate(suspected)}, Alive},
		{"left", []step{observe(1), receiveUpdate(Update{Incarnation: 1, State: Left})}, Left},
		{"suspected when left", []step{observe(1), receiveUpdate(Update{Incarnation: 1, State: Left}), receiveUpdate(suspected)}, Left},
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
