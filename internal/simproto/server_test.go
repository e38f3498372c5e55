package simproto

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const upLine = `{"kind":"up","who":3,"rngSeed":7,"env":{"familyInfo":{"cores":1,"memoryKb":100,"later":{"x":null}},` +
	`"classes":[{"idempotency":"retryable","giveUpUs":1000000,"goalTimeUs":500000}],"limits":{"retryAfter":true}}}` + "\n"

const clockLine = `{"kind":"clock","simTimeUs":1000,"seq":5}` + "\n"

func batch(events string) string { return clockLine + events + `{"kind":"commit"}` + "\n" }

func TestServe(t *testing.T) {
	const (
		query   = `{"kind":"query","who":3,"txn":4294967295,"tierClass":0,"sizeKb":2.5}` + "\n"
		started = `{"kind":"admit","who":3,"txn":4294967295}` + "\n"
		first   = `{"kind":"readiness","who":3,"cheap":true,"want":true}` + "\n" +
			`{"kind":"sleep","who":3,"whenUs":26000,"handle":1}` + "\n"
		end = `{"kind":"eor","seq":5}` + "\n"
	)
	for _, test := range []struct {
		name, in, out string
		err           error
		message       string
	}{
		{name: "empty input"},
		{name: "empty batch", in: batch(""), out: end},
		{name: "an instance", in: batch(upLine + query), out: started + first + end},
		{
			name: "unknown kinds and fields are skipped",
			in:   batch(upLine + `{"kind":"novel","who":9}` + "\n" + strings.Replace(query, `"txn"`, `"new":[1],"txn"`, 1)),
			out:  started + first + end,
		},
		{
			name: "killed and up again in one batch",
			in:   batch(upLine + query + `{"kind":"killed","who":3}` + "\n" + upLine),
			out:  first + end,
		},
		{
			name: "connections",
			in: batch(strings.Replace(upLine, `"cores":1`, `"cores":1,"senders":100`, 1)) +
				strings.Replace(batch(`{"kind":"tickDue","who":3,"handle":1}`+"\n"), "1000", "101000", 1),
			out: first + end + `{"kind":"closeIdle","who":3,"keepForUs":200000}` + "\n" +
				`{"kind":"sleep","who":3,"whenUs":126000,"handle":1}` + "\n" + end,
		},
		{
			name: "event of a request that isn't known",
			in:   batch(upLine + `{"kind":"result","who":3,"txn":8,"verdict":"Ignored"}` + "\n"),
			out:  first + end,
		},
		{name: "without settings", in: batch(`{"kind":"up","who":3}` + "\n"), out: first + end},
		{name: "not JSON", in: batch("admit\n"), err: ErrNotJSON, message: "batch 5: line is not JSON"},
		{name: "not an object", in: batch("[1]\n"), err: ErrNotObject, message: "batch 5: line is not a JSON object"},
		{
			name: "unknown instance", in: batch(query),
			err: ErrUnknownInstance, message: "batch 5: event for an unknown instance: 3",
		},
		{
			name: "unknown instance killed", in: batch(`{"kind":"killed","who":4}` + "\n"),
			err: ErrUnknownInstance, message: "batch 5: event for an unknown instance: 4",
		},
		{name: "no end", in: clockLine, err: ErrTruncated, message: "batch 5: input ends inside a batch"},
		{name: "no end before the next", in: clockLine + clockLine, err: ErrNestedBatch, message: "batch 5: clock line inside an open batch"},
		{name: "event outside", in: upLine, err: ErrEventOutsideBatch, message: "event outside a batch"},
		{name: "end outside", in: `{"kind":"commit"}` + "\n", err: ErrCommitOutsideBatch, message: "commit line outside a batch"},
		{name: "no time", in: `{"kind":"clock","seq":5}` + "\n", err: ErrIncompleteClock, message: "clock line without a batch number or a time"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			err := Serve(strings.NewReader(test.in), &out)
			if diff := cmp.Diff(test.out, out.String()); diff != "" {
				t.Error(diff)
			}
			if !errors.Is(err, test.err) {
				t.Errorf("error %v, wanted %v", err, test.err)
			}
			if err != nil && !strings.Contains(err.Error(), test.message) {
				t.Errorf("error %q, wanted %q", err, test.message)
			}
		})
	}
}

func TestPanicIsReported(t *testing.T) {
	s := &server{}
	s.recoverPanic(&instance{id: 3}, func() { panic("no \"such\" thing") })
	want := `{"kind":"internalError","who":3,"what":"no \"such\" thing"}` + "\n"
	if diff := cmp.Diff(want, string(s.reply)); diff != "" {
		t.Error(diff)
	}
}
