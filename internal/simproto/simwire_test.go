package simproto

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const up = `{"kind":"up","who":3,"rngSeed":7,"env":{"familyInfo":{"cores":1,"memoryKb":100,"later":{"x":null}},` +
	`"classes":[{"idempotency":"retryable","giveUpUs":1000000,"goalTimeUs":500000}],"limits":{"retryAfter":true}}}` + "\n"

func batch(events string) string {
	return `{"kind":"clock","simTimeUs":1000,"seq":5}` + "\n" + events + `{"kind":"commit"}` + "\n"
}

func TestServe(t *testing.T) {
	query := `{"kind":"query","who":3,"txn":4294967295,"tierClass":0,"sizeKb":2.5}` + "\n"
	started := `{"kind":"admit","who":3,"txn":4294967295}` + "\n"
	life := `{"kind":"readiness","who":3,"cheap":true,"want":true}` + "\n" +
		`{"kind":"sleep","who":3,"whenUs":26000,"handle":1}` + "\n"
	end := `{"kind":"eor","seq":5}` + "\n"
	for _, c := range []struct{ name, in, out, err string }{
		{"empty input", "", "", ""},
		{"empty batch", batch(""), end, ""},
		{"a life", batch(up + query), started + life + end, ""},
		{"unknown kinds and fields are skipped", batch(up + `{"kind":"novel","who":9}` + "\n" +
			strings.Replace(query, `"txn"`, `"new":[1],"txn"`, 1)), started + life + end, ""},
		{"killed and up again in one batch", batch(up + query + `{"kind":"killed","who":3}` + "\n" + up), life + end, ""},
		{"connections", batch(strings.Replace(up, `"cores":1`, `"cores":1,"senders":100`, 1)) +
			strings.Replace(batch(`{"kind":"tickDue","who":3,"handle":1}`+"\n"), "1000", "101000", 1), life + end +
			`{"kind":"closeIdle","who":3,"keepForUs":200000}` + "\n" +
			`{"kind":"sleep","who":3,"whenUs":126000,"handle":1}` + "\n" + end, ""},
		{"late news", batch(up + `{"kind":"result","who":3,"txn":8,"verdict":"Ignored"}` + "\n"), life + end, ""},
		{"not JSON", batch("admit\n"), "", "batch 5: a line is not JSON"},
		{"not an object", batch("[1]\n"), "", "batch 5: a line is not an object"},
		{"unknown instance", batch(query), "", "batch 5: event for an unknown instance: 3"},
		{"no end", `{"kind":"clock","simTimeUs":1000,"seq":5}` + "\n", "", "batch 5: the input ends before"},
		{"no end before the next", strings.Repeat(`{"kind":"clock","simTimeUs":1000,"seq":5}`+"\n", 2), "", "batch 5: a new batch"},
		{"event outside", up, "", "an event outside a batch"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := Serve(strings.NewReader(c.in), &out)
			if diff := cmp.Diff(c.out, out.String()); diff != "" {
				t.Error(diff)
			}
			if got := ""; err != nil {
				got = err.Error()
				if c.err == "" || !strings.Contains(got, c.err) {
					t.Errorf("error %q, wanted %q", got, c.err)
				}
			} else if c.err != "" {
				t.Errorf("no error, wanted %q", c.err)
			}
		})
	}
}

func TestPanicIsReported(t *testing.T) {
	h := &host{}
	h.guard(&instance{id: 3}, func() { panic("no \"such\" thing") })
	want := `{"kind":"internalError","who":3,"what":"no \"such\" thing"}` + "\n"
	if diff := cmp.Diff(want, string(h.out)); diff != "" {
		t.Error(diff)
	}
}
