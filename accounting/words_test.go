package accounting

import (
	"fmt"
	"testing"
)

// TestStoredReasons checks the numbers of the reasons, which are stored, and their names and categories, which appear in
// reports and metrics. None of them may change; new ones may be added.
func TestStoredReasons(t *testing.T) {
	for _, want := range []struct {
		number   uint8
		name     string
		category string
	}{
		{0, "none", "none"},
		{1, "ran", "served"},
		{2, "repeated", "served"},
		{3, "undecided", "refused"},
		{4, "none", "none"},
		{5, "none", "none"},
		{6, "none", "none"},
		{7, "none", "none"},
		{8, "shed", "refused"},
		{9, "aged", "refused"},
		{10, "not-ready", "refused"},
		{11, "slots", "refused"},
		{12, "not-protected", "refused"},
		{13, "still-reading", "refused"},
		{14, "keep-full", "refused"},
		{15, "come-again", "refused"},
		{16, "bad-fields", "failed"},
		{17, "no-handler", "failed"},
		{18, "not-whole", "failed"},
		{19, "role", "failed"},
		{20, "stranger", "failed"},
		{21, "run-failed", "failed"},
		{22, "run-stopped", "failed"},
		{23, "never-ran", "failed"},
		{24, "given-up", "failed"},
		{25, "call-failed", "failed"},
		{26, "processor-lost", "failed"},
		{27, "forerunner", "failed"},
		{28, "aborted", "failed"},
		{29, "connection-lost", "failed"},
		{30, "undelivered", "failed"},
		{31, "cut-by-stop", "failed"},
		{32, "cut-by-kill", "failed"},
		{33, "in-doubt", "failed"},
		{34, "bad-secret", "failed"},
		{35, "kept-in-doubt", "failed"},
		{36, "kept-aged", "failed"},
		{37, "kept-blind", "failed"},
		{38, "not-written", "failed"},
		{39, "none", "none"},
		{40, "none", "none"},
	} {
		reason := Reason(want.number)
		if reason.String() != want.name || reason.Category().String() != want.category {
			t.Errorf("%d: got %v, %v; want %s, %s", want.number, reason, reason.Category(), want.name, want.category)
		}
		if want.category != "none" && ParseReason(want.name) != reason {
			t.Errorf("%s: got %d, want %d", want.name, ParseReason(want.name), reason)
		}
	}
}

// TestStoredWords checks the names of the other enumerations by their numbers, including numbers out of range.
func TestStoredWords(t *testing.T) {
	for name, test := range map[string]struct {
		want  []string
		value func(number uint8) fmt.Stringer
	}{
		"ending": {
			want:  []string{"runs", "left", "killed", "rebooted", "rebooted"},
			value: func(number uint8) fmt.Stringer { return IncarnationState(number) },
		},
		"front end": {
			want:  []string{"fastcgi", "ajp", "taken-over", "none"},
			value: func(number uint8) fmt.Stringer { return Frontend(number) },
		},
		"category": {
			want:  []string{"none", "served", "refused", "failed", "none"},
			value: func(number uint8) fmt.Stringer { return Category(number) },
		},
		"entry kind": {
			want:  []string{"none", "open", "answer", "sent", "close", "flush", "differ", "none"},
			value: func(number uint8) fmt.Stringer { return EntryKind(number) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			for number, want := range test.want {
				if got := test.value(uint8(number)).String(); got != want {
					t.Errorf("%d: got %s, want %s", number, got, want)
				}
			}
		})
	}
}
