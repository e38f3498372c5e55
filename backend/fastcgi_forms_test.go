package backend

import (
	"fmt"
	"strings"
	"testing"

	"frosthub/internal/fake"
)

// Types of FastCGI records.
const (
	beginRecord  = 1
	abortRecord  = 2
	endRecord    = 3
	paramsRecord = 4
	stdinRecord  = 5
	dataRecord   = 8
	valuesRecord = 9
	noRecord     = 77
)

// beginResponder is the content of a record that begins a request for a responder, on a connection that is kept open.
const beginResponder = "\x00\x01\x01\x00\x00\x00\x00\x00"

func beginText(slot uint16) string { return fake.FastCGIRecord(beginRecord, slot, beginResponder) }

// paramsText returns the records of parameters, in pieces of that size.
func paramsText(slot uint16, params string, size int) string {
	var out strings.Builder
	for i := 0; i < len(params); i += size {
		out.WriteString(fake.FastCGIRecord(paramsRecord, slot, params[i:min(len(params), i+size)]))
	}
	out.WriteString(fake.FastCGIRecord(paramsRecord, slot, ""))
	return out.String()
}

func stdinText(slot uint16, body string) string {
	return fake.FastCGIRecord(stdinRecord, slot, body) + fake.FastCGIRecord(stdinRecord, slot, "")
}

// goodParams returns the parameters of a good request.
func goodParams(slot uint16) string {
	var out strings.Builder
	for name, value := range defaultFields(slot, nil) {
		out.WriteString(fake.FastCGIPair(name, value))
	}
	return out.String()
}

// fastcgiForm is a legal form of one request or of several.
type fastcgiForm struct {
	name    string
	input   string
	slots   []uint16 // of its requests, in the order of their ends
	records int      // that it is answered with beside responses
}

func fastcgiForms() []fastcgiForm {
	params3, params4 := goodParams(3), goodParams(4)
	alternating := beginText(3) + beginText(4) +
		fake.FastCGIRecord(paramsRecord, 3, params3) + fake.FastCGIRecord(paramsRecord, 4, params4) +
		fake.FastCGIRecord(paramsRecord, 3, "") + fake.FastCGIRecord(paramsRecord, 4, "") +
		fake.FastCGIRecord(stdinRecord, 4, "y") + fake.FastCGIRecord(stdinRecord, 3, "x") +
		fake.FastCGIRecord(stdinRecord, 4, "") + fake.FastCGIRecord(stdinRecord, 3, "")
	unknownRecords := beginText(3) +
		fake.FastCGIRecord(valuesRecord, 0, "\x0f\x00FCGI_MPXS_CONNS") + paramsText(3, params3, 100) +
		fake.FastCGIRecord(noRecord, 0, "what") + stdinText(3, "x")
	unknownSlots := fake.FastCGIRecord(abortRecord, 9, "") +
		fake.FastCGIRecord(stdinRecord, 9, "z") + fake.FastCGIRecord(paramsRecord, 9, "z") +
		fake.FastCGIRecord(endRecord, 9, "\x00\x00\x00\x00\x00\x00\x00\x00") +
		fake.FastCGIRecord(dataRecord, 9, "z") + fastcgiRequest(5, nil)
	sequence := fastcgiRequest(6, nil) + fastcgiRequest(7, nil) + fastcgiRequest(8, nil)
	return []fastcgiForm{
		{"in one piece", fastcgiRequest(2, nil), []uint16{2}, 0},
		{"parameters of one byte a record", beginText(3) + paramsText(3, params3, 1) + stdinText(3, "x"), []uint16{3}, 0},
		{"two requests whose records alternate", alternating, []uint16{3, 4}, 0},
		{"a question for values and an unknown type between", unknownRecords, []uint16{3}, 2},
		{"records of slots that never began, and an end of its own", unknownSlots, []uint16{5}, 1},
		{"requests one after the other in one piece", sequence, []uint16{6, 7, 8}, 0},
	}
}

// TestForms: every legal form of a request, written byte by byte, is answered as if it had come in one piece. What no slot
// of the connection has begun, and what the protocol does not know, does no harm to a request that is open beside it.
func TestForms(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	for i, form := range fastcgiForms() {
		bed.playForm(form, uint16(20+i))
	}
}

// playForm sends a form on a connection of its own, on which a request is open all the while.
func (bed *testbed) playForm(form fastcgiForm, open uint16) {
	client := bed.dialClient()
	bed.startRun(client, open)
	for i := range form.input {
		client.send(form.input[i : i+1])
	}
	for _, slot := range form.slots {
		bed.eventually(func() bool {
			_, runs := bed.takeLine(fmt.Sprintf("processor: begin %016x status", slot))
			return runs
		})
		bed.completeRun(slot)
		got := client.readAnswer()
		for range form.records {
			if strings.HasPrefix(got, "record") {
				got = client.readAnswer()
			}
		}
		if want := fmt.Sprintf("%d%s", slot, succeededLine); got != want {
			bed.t.Errorf("%s: %q, not %q", form.name, got, want)
		}
	}
	bed.completeRun(open)
	if got, want := client.readAnswer(), fmt.Sprintf("%d%s", open, succeededLine); got != want {
		bed.t.Errorf("%s, the request beside it: %q, not %q", form.name, got, want)
	}
	_ = client.conn.Close()
}
