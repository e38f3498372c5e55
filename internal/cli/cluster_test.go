package cli

import (
	"bytes"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/accounting"
	"frosthub/backend"
	"frosthub/failover"
	"frosthub/internal/admin"

	"github.com/google/go-cmp/cmp"
)

// fakeNode is an admin.Source that returns fixed data.
type fakeNode struct{ report accounting.Report }

func (n fakeNode) Accounting() accounting.Report               { return n.report }
func (n fakeNode) AccountingRecorded() bool                    { return true }
func (n fakeNode) IdempotencyStats() *backend.IdempotencyStats { return nil }
func (n fakeNode) Trust() error                                { return backend.ErrHistoryComplete }

func (n fakeNode) Forget(node string) error {
	if node != "n9" {
		return backend.ErrUnknownNode
	}
	return nil
}

func (n fakeNode) ClusterStats() *backend.ClusterStats {
	return &backend.ClusterStats{
		Name:           "north",
		Incarnation:    2,
		Phase:          "asking",
		PhaseReason:    "others are asked",
		Unanswered:     []string{"n2"},
		OutcomeUnknown: map[string]int{"file-claim": 3, "": 1},
		Members: []backend.MemberStats{
			{Name: "n1", Incarnation: 2, State: "alive", Roster: "as here"},
			{Name: "n2", Incarnation: 7, State: "suspected", Roster: "unknown"},
		},
		Requests: []failover.RequestStatus{{
			Key:     "00112233445566778899aabbccddeeff",
			Handler: "file-claim",
			Role:    "notes",
			State:   "begun",
			Holder:  "n2",
			Left:    1500 * time.Millisecond,
		}},
	}
}

// serveFakeNode starts an admin server for a fakeNode and returns its address. The
// server stops at the end of the test.
func serveFakeNode(t *testing.T) string {
	t.Helper()
	ledger := writeFigures(t, filepath.Join(t.TempDir(), "one"), 500_000*time.Hour)
	stop, address, err := admin.Serve("127.0.0.1:0", fakeNode{ledger.Report(false)}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// get returns the body of the response to a GET request.
func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	return text.String()
}

// TestMetrics checks the complete metrics of a node as Prometheus scrapes them.
func TestMetrics(t *testing.T) {
	var got []string
	for line := range strings.Lines(get(t, "http://"+serveFakeNode(t)+admin.PathMetrics)) {
		if !strings.HasPrefix(line, "#") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	want := []string{
		`frosthub_cluster_members{state="alive"} 1`,
		`frosthub_cluster_members{state="suspected"} 1`,
		`frosthub_cluster_reqs{part="begun"} 0`,
		`frosthub_cluster_reqs{part="holds"} 0`,
		`frosthub_cluster_reqs{part="notes"} 0`,
		`frosthub_cluster_reqs{part="waits"} 0`,
		`frosthub_cluster_total{what="found"} 0`,
		`frosthub_cluster_total{what="in-doubt"} 0`,
		`frosthub_cluster_total{what="joined"} 0`,
		`frosthub_cluster_total{what="lost"} 0`,
		`frosthub_cluster_total{what="taken"} 0`,
		`frosthub_customer_reqs_total{customer="4",figure="failed"} 1`,
		`frosthub_customer_reqs_total{customer="4",figure="refused"} 2`,
		`frosthub_customer_reqs_total{customer="4",figure="served"} 2`,
		`frosthub_customer_reqs_total{customer="4",figure="taken"} 6`,
		`frosthub_figures_differences_total 0`,
		`frosthub_figures_life 2`,
		`frosthub_figures_recorded 1`,
		`frosthub_reqs_closed_total{figure="failed",front="fastcgi",handler="status",reason="run-failed"} 1`,
		`frosthub_reqs_closed_total{figure="refused",front="fastcgi",handler="file-claim",reason="shed"} 2`,
		`frosthub_reqs_closed_total{figure="served",front="fastcgi",handler="status",reason="ran"} 2`,
		`frosthub_reqs_open{front="fastcgi",handler="file-claim"} 0`,
		`frosthub_reqs_open{front="fastcgi",handler="status"} 1`,
		`frosthub_reqs_taken_total{front="fastcgi",handler="file-claim"} 2`,
		`frosthub_reqs_taken_total{front="fastcgi",handler="status"} 4`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestAdmin checks that the admin server serves the accounting as JSON, and that it
// rejects the decision of an operator who is not named.
func TestAdmin(t *testing.T) {
	address := serveFakeNode(t)
	if text := get(t, "http://"+address+admin.PathAccounting); !strings.Contains(text, `"taken":6`) {
		t.Error(text)
	}
	response, err := http.Post("http://"+address+admin.PathTrust, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusForbidden {
		t.Error("status of a decision without the name of the operator:", response.Status)
	}
}

// TestClusterCommands checks the output of the commands that query a running node.
func TestClusterCommands(t *testing.T) {
	const (
		members = "cluster north, incarnation 2\n" +
			"  member  life      state    lists\n" +
			"      n1     2      alive  as here\n" +
			"      n2     7  suspected  unknown\n"
		counts = "holds 0, waits for 0 of other nodes, reserves 0 for other nodes (0 started); taken over 0, lost to other nodes 0, joined 0, outcome unknown 0, " +
			"outcomes from processors of lost nodes 0\n"
		requests = "key           handler     part   step   holder  time left  taken over\n" +
			"001122334455  file-claim  notes  begun  n2      1.5s       \n"
		recovery = "asking: others are asked\n" +
			"no answer yet from: n2\n" +
			"outcome unknown: 1 of unknown handlers\n" +
			"outcome unknown: 3 of file-claim\n"
	)
	address := serveFakeNode(t)
	for command, want := range map[string]string{
		"cluster":  members + counts,
		"members":  members,
		"takeover": counts + requests,
	} {
		t.Run(command, func(t *testing.T) {
			out, _, err := run("-", command, "--admin", address)
			if err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(want, out); diff != "" {
				t.Error(diff)
			}
		})
	}
	t.Run("recovery", func(t *testing.T) {
		out, _, err := run("-", "recovery", "--admin", address)
		if err != nil || !strings.HasPrefix(out, recovery) {
			t.Error(out, err)
		}
	})
	t.Run("no address", func(t *testing.T) {
		if _, _, err := run("-", "cluster"); err == nil {
			t.Error("the command succeeds without an address")
		}
	})
}

// TestDecisions checks that a decision command prints the consequences, requires
// --yes, and fails if the node rejects the decision.
func TestDecisions(t *testing.T) {
	address := serveFakeNode(t)
	for _, test := range []struct {
		args    []string
		wantErr string // substring of the error; empty if the command must succeed
	}{
		{[]string{"forget", "n9", "--yes"}, ""},
		{[]string{"forget", "n9"}, "nothing was done"},
		{[]string{"forget", "n2", "--yes"}, backend.ErrUnknownNode.Error()},
		{[]string{"trust", "--yes"}, backend.ErrHistoryComplete.Error()},
	} {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			args := append([]string{"recovery", "--admin", address}, test.args...)
			out, _, err := run("-", args...)
			if (err == nil) != (test.wantErr == "") || err != nil && !strings.Contains(err.Error(), test.wantErr) {
				t.Error(err)
			}
			if !strings.Contains(out, "second time") {
				t.Error("the consequences are not printed:", out)
			}
		})
	}
}
