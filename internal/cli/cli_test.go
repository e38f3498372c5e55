package cli

import (
	"bytes"
	"errors"
	"frosthub/accounting"
	"frosthub/backend"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/admin"
	"frosthub/internal/statsfile"
	"frosthub/internal/wal"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// run runs a command and gives its output with the folder's name taken out.
func run(dir string, args ...string) (out, errs string, err error) {
	var o, e bytes.Buffer
	c := root()
	c.SetOut(&o)
	c.SetErr(&e)
	c.SetArgs(args)
	err = c.Execute()
	return strings.ReplaceAll(o.String(), dir+"/", ""), strings.ReplaceAll(e.String(), dir+"/", ""), err
}

// written writes the figures file of a box with two lives, the second killed with one answer on its way.
func written(t *testing.T, path string, at time.Duration) *accounting.Ledger {
	t.Helper()
	cfg := accounting.Config{Handlers: []string{"status", "file-claim"}, MaxCustomers: 2, MaxPeriods: 3, PeriodLength: time.Minute}
	var b *accounting.Ledger
	for life := range 2 {
		now := at + time.Duration(life)*time.Hour
		fresh, err := accounting.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r := statsfile.NewRecorder(path, 0, slog.New(slog.DiscardHandler))
		b = r.Open(fresh, cfg, at, 5*time.Second)
		for i, why := range []accounting.Reason{accounting.Completed, accounting.Shed, accounting.RunFailed} {
			k := b.Open(now, uint64(16*life+i+1), uint16(1+i%2), accounting.FastCGI, accounting.NewCustomerName([]byte("4")))
			b.Answer(now, k, why)
			if i < 2 || life == 0 {
				b.Sent(now, k)
			}
		}
		r.Append(b, now)
		if life == 0 {
			b.CloseAll(accounting.OpenAtExit, accounting.Exited)
			r.Close(b, at)
		} else {
			r.Abandon()
		}
	}
	return b
}

// TestFigures: the figures of boxes are shown, summed, checked, and settled by a tally.
func TestFigures(t *testing.T) {
	dir := t.TempDir()
	const at = 500_000 * time.Hour
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	written(t, one, at)
	written(t, two, at)
	out, errs, err := run(dir, "figures", one, two)
	want := `one: no process holds it, 2 lives, taken 6 = served 2 + refused 2 + failed 2 + open 0
one: 1 in doubt after kills, 0 settled by the tally
one: in doubt 0000000000000013
two: no process holds it, 2 lives, taken 6 = served 2 + refused 2 + failed 2 + open 0
two: 1 in doubt after kills, 0 settled by the tally
two: in doubt 0000000000000013
     handler  taken  served  refused  failed  open
  file-claim      4       0        4       0     0
      status      8       4        0       4     0
         sum     12       4        4       4     0
`
	if diff := cmp.Diff(want, out); diff != "" || errs != "" || err != nil {
		t.Error(diff, errs, err)
	}
	tally := filepath.Join(dir, "tally")
	if err := os.WriteFile(tally, []byte("0000000000000013 served\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, _, err = run(dir, "figures", "--by", "reason", "--csv", "--tally", tally, one)
	want = "key,taken,served,refused,failed,open\nin-doubt,1,0,0,1,0\nran,2,2,0,0,0\nrun-failed,1,0,0,1,0\nshed,2,0,2,0,0\n"
	if diff := cmp.Diff(want, out); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if out, _, err = run(dir, "figures", "--tally", tally, one); err != nil ||
		!strings.HasPrefix(out, "one: no process holds it, 2 lives, taken 6 = served 3 + refused 2 + failed 1 + open 0\none: 1 in doubt after kills, 1 settled") {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "figures", "--since", "2027-01-15T08:30:00Z", one); err != nil || !strings.Contains(out, "sum      3") {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "figures", "--trail", one); err != nil || !strings.Contains(out, ":open(0,0000000000000011)") {
		t.Error(out, err)
	}
	data, err := os.ReadFile(two)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(two, data[:len(data)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	_, errs, err = run(dir, "figures", one, two)
	if err == nil || !strings.HasPrefix(errs, "two: a damaged figures file") {
		t.Error(errs, err)
	}
	for _, args := range [][]string{
		{"figures"},
		{"figures", "--by", "day", one},
		{"figures", "--since", "soon", one},
		{"figures", "--since", "1h", "--by", "life", one},
		{"figures", "--json", "--csv", one},
		{"none-such"},
		{"figures", dir + "/none"},
	} {
		if _, _, err := run(dir, args...); err == nil {
			t.Error(args, "is taken")
		}
	}
}

// TestCheck: files of both kinds are checked, each with one line.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	out, errs, err := run(dir, "check", write("good", "figures file /x\n"), write("bad", "figures file x\n"), write("json", "{}"))
	if out != "good: good\n" || err == nil ||
		errs != "bad:1:14: path \"x\": no absolute path, expected an absolute path on a disk of this machine\njson: field \"name\" is missing\n" {
		t.Error(out, errs, err)
	}
}

// TestKeep: a store is made, shown, and its lost records answered for.
func TestKeep(t *testing.T) {
	dir := t.TempDir()
	store := filepath.Join(dir, "store")
	if _, _, err := run(dir, "keep", "init", store); err == nil {
		t.Error("made for no box")
	}
	out, _, err := run(dir, "keep", "init", "--box", "n1", store)
	if out != "store: an empty store for box n1\n" || err != nil {
		t.Error(out, err)
	}
	for _, args := range [][]string{{"keep", "init", "--box", "n1", store}, {"keep", "check", dir}, {"keep", "list", dir}, {"keep", "accept", dir}} {
		if _, _, err := run(dir, args...); err == nil {
			t.Error(args, "is taken")
		}
	}
	disk := wal.DirDisk(store)
	write := func(key byte, end idempotency.EntryKind) {
		t.Helper()
		s := idempotency.New(idempotency.Config{MaxEntries: 10, MaxBytes: 100, MaxResultBytes: 50, ResultTTL: time.Hour, RetryHorizon: time.Hour, MaxSegments: 9, KeysPerSegment: 9, SegmentBytes: 999})
		now := time.Duration(time.Now().UnixNano())
		w, _, err := wal.Open(disk, "n1", s, now, nil)
		if err != nil {
			t.Fatal(err)
		}
		s.Reserve(now, 0, idempotency.Key{key}, "", 1)
		if end > 0 {
			s.Finish(now, idempotency.Key{key}, end, []byte("yes"))
		}
		_, err = w.Commit(s.TakeEntries())
		if err := errors.Join(err, w.Close()); err != nil {
			t.Fatal(err)
		}
	}
	write(1, idempotency.EntryResult)
	write(2, 0)
	write(3, idempotency.EntryFailed)
	out, errs, err := run(dir, "keep", "check", store)
	if !strings.Contains(out, "store: box n1, no process uses it, 3 lives, 9 records in 1 segments since ") || errs != "" || err != nil ||
		!strings.Contains(out, "store: 3 keys, 1 of them in doubt, 3 bytes of results, prints of 0 more\n") {
		t.Error(out, errs, err)
	}
	out, _, err = run(dir, "keep", "list", "--in-doubt", store)
	if !strings.HasSuffix(out, " 02000000000000000000000000000000 in doubt 0 bytes\n") || strings.Count(out, "\n") != 1 || err != nil {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "keep", "list", "--records", store); strings.Count(out, "\n") != 9 || err != nil {
		t.Error(out, err)
	}
	name := filepath.Join(store, "0000000000000001.log")
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	data[100] ^= 1
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, err = run(dir, "keep", "check", store); !strings.Contains(out, "DAMAGED") || !strings.Contains(out, "may be lost") || err == nil {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "keep", "accept", store); strings.Contains(out, "may be lost") || err != nil {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "keep", "compact", store); strings.Contains(out, "may be lost") || err != nil {
		t.Error(out, err)
	}
}

// source is a box that stands still.
type source struct{ report accounting.Report }

func (s source) Accounting() accounting.Report { return s.report }
func (s source) AccountingRecorded() bool      { return true }
func (s source) ClusterStats() *backend.ClusterStats {
	return &backend.ClusterStats{
		Name: "north", Incarnation: 2, Phase: "asking", PhaseReason: "others are asked", Unanswered: []string{"n2"}, OutcomeUnknown: map[string]int{"file-claim": 3, "": 1},
		Members: []backend.MemberStats{{Name: "n1", Incarnation: 2, State: "alive", Roster: "as here"}, {Name: "n2", Incarnation: 7, State: "suspected", Roster: "unknown"}}, Requests: []failover.Request{
			{Key: "00112233445566778899aabbccddeeff", Handler: "file-claim", Part: "notes", Step: "begun", Holder: "n2", Left: 1500 * time.Millisecond},
		},
	}
}
func (s source) Trust() error { return backend.ErrNothingUnknown }
func (s source) Forget(box string) error {
	if box != "n9" {
		return backend.ErrUnknownNode
	}
	return nil
}
func (s source) IdempotencyStats() *backend.IdempotencyStats { return nil }

// TestAdmin: what is served adds up as Prometheus reads it.
func TestAdmin(t *testing.T) {
	b := written(t, filepath.Join(t.TempDir(), "one"), 500_000*time.Hour)
	stop, address, err := admin.Serve("127.0.0.1:0", source{b.Report(false)}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	get := func(path string) string {
		r, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = r.Body.Close() }()
		var text bytes.Buffer
		_, _ = text.ReadFrom(r.Body)
		return text.String()
	}
	var got []string
	for line := range strings.Lines(get("/metrics")) {
		if !strings.HasPrefix(line, "#") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	want := []string{
		`frosthub_cluster_members{state="alive"} 1`, `frosthub_cluster_members{state="suspected"} 1`,
		`frosthub_cluster_reqs{part="begun"} 0`, `frosthub_cluster_reqs{part="holds"} 0`, `frosthub_cluster_reqs{part="notes"} 0`,
		`frosthub_cluster_reqs{part="waits"} 0`, `frosthub_cluster_total{what="found"} 0`, `frosthub_cluster_total{what="in-doubt"} 0`,
		`frosthub_cluster_total{what="joined"} 0`, `frosthub_cluster_total{what="lost"} 0`, `frosthub_cluster_total{what="taken"} 0`,
		`frosthub_customer_reqs_total{customer="4",figure="failed"} 1`,
		`frosthub_customer_reqs_total{customer="4",figure="refused"} 2`,
		`frosthub_customer_reqs_total{customer="4",figure="served"} 2`,
		`frosthub_customer_reqs_total{customer="4",figure="taken"} 6`,
		`frosthub_figures_differences_total 0`, `frosthub_figures_life 2`, `frosthub_figures_recorded 1`,
		`frosthub_reqs_closed_total{figure="failed",front="fastcgi",handler="status",reason="run-failed"} 1`,
		`frosthub_reqs_closed_total{figure="refused",front="fastcgi",handler="file-claim",reason="shed"} 2`,
		`frosthub_reqs_closed_total{figure="served",front="fastcgi",handler="status",reason="ran"} 2`,
		`frosthub_reqs_open{front="fastcgi",handler="file-claim"} 0`, `frosthub_reqs_open{front="fastcgi",handler="status"} 1`,
		`frosthub_reqs_taken_total{front="fastcgi",handler="file-claim"} 2`,
		`frosthub_reqs_taken_total{front="fastcgi",handler="status"} 4`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	out, _, err := run("-", "cluster", "--admin", address)
	members := "cluster north, life 2\n  member  life      state    lists\n      n1     2      alive  as here\n      n2     7  suspected  unknown\n"
	work := "holds 0, waits for 0 of others, notes 0 for others (0 begun); taken over 0, lost to others 0, joined 0, in doubt 0, " +
		"ends from lost boxes' processors 0\n"
	if err != nil || out != members+work {
		t.Error(out, err)
	}
	if out, _, err := run("-", "members", "--admin", address); err != nil || out != members {
		t.Error(out, err)
	}
	if out, _, err := run("-", "recovery", "--admin", address); err != nil || !strings.HasPrefix(out, "asking: others are asked\nnot answered yet: n2\n"+
		"in doubt: 1 of handlers that are not known\nin doubt: 3 of file-claim\n") {
		t.Error(out, err)
	}
	if out, _, err := run("-", "takeover", "--admin", address); err != nil || out != work+
		"key           handler     part   step   holder  time left  taken over\n001122334455  file-claim  notes  begun  n2      1.5s       \n" {
		t.Error(out, err)
	}
	for _, c := range []struct {
		args []string
		err  string
	}{
		{[]string{"forget", "n9", "--yes"}, ""},
		{[]string{"forget", "n9"}, "nothing was done"},
		{[]string{"forget", "n2", "--yes"}, backend.ErrUnknownNode.Error()},
		{[]string{"trust", "--yes"}, backend.ErrNothingUnknown.Error()},
	} {
		out, _, err := run("-", append(append([]string{"recovery"}, c.args...), "--admin", address)...)
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) || !strings.Contains(out, "second time") {
			t.Error(c.args, out, err)
		}
	}
	if r, err := http.Post("http://"+address+"/recovery/trust", "", nil); err != nil || r.StatusCode != http.StatusForbidden {
		t.Error("said by nobody, and heard: ", err)
	}
	if _, _, err := run("-", "cluster"); err == nil {
		t.Error("asked nobody")
	}
	if text := get("/figures"); !strings.Contains(text, `"taken":6`) {
		t.Error(text)
	}
}
