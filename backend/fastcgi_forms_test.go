package backend

import (
	"fmt"
	"strings"
	"testing"

	"frosthub/internal/fake"
)

// Types of FastCGI records.
const (
	beginRecord   = 1
	abortRecord   = 2
	endRecord     = 3
	paramsRecord  = 4
	stdinRecord   = 5
	dataRecord    = 8
	valuesRecord  = 9
	unknownRecord = 77
)

// beginResponder is the content of a begin record with the responder role and the keep-connection flag.
const beginResponder = "\x00\x01\x01\x00\x00\x00\x00\x00"

// beginText returns the record that begins a request.
func beginText(slot uint16) string { return fake.FastCGIRecord(beginRecord, slot, beginResponder) }

// paramsText returns the parameter records of a request, with at most size bytes of content each.
func paramsText(slot uint16, params string, size int) string {
	var out strings.Builder
	for i := 0; i < len(params); i += size {
		out.WriteString(fake.FastCGIRecord(paramsRecord, slot, params[i:min(len(params), i+size)]))
	}
	out.WriteString(fake.FastCGIRecord(paramsRecord, slot, ""))
	return out.String()
}

// stdinText returns the records of a request's body.
func stdinText(slot uint16, body string) string {
	return fake.FastCGIRecord(stdinRecord, slot, body) + fake.FastCGIRecord(stdinRecord, slot, "")
}

// validParams returns the parameters of a valid request.
func validParams(slot uint16) string {
	var out strings.Builder
	for name, value := range defaultFields(slot, nil) {
		out.WriteString(fake.FastCGIPair(name, value))
	}
	return out.String()
}

// fastcgiForm is a valid encoding of one or several requests.
type fastcgiForm struct {
	name    string
	input   string
	slots   []uint16 // slots of its requests, in the order of their completion
	records int      // number of records that the backend sends back and that are no part of a response
}

func fastcgiForms() []fastcgiForm {
	params3, params4 := validParams(3), validParams(4)
	alternating := beginText(3) + beginText(4) +
		fake.FastCGIRecord(paramsRecord, 3, params3) + fake.FastCGIRecord(paramsRecord, 4, params4) +
		fake.FastCGIRecord(paramsRecord, 3, "") + fake.FastCGIRecord(paramsRecord, 4, "") +
		fake.FastCGIRecord(stdinRecord, 4, "y") + fake.FastCGIRecord(stdinRecord, 3, "x") +
		fake.FastCGIRecord(stdinRecord, 4, "") + fake.FastCGIRecord(stdinRecord, 3, "")
	unknownRecords := beginText(3) +
		fake.FastCGIRecord(valuesRecord, 0, "\x0f\x00FCGI_MPXS_CONNS") + paramsText(3, params3, 100) +
		fake.FastCGIRecord(unknownRecord, 0, "what") + stdinText(3, "x")
	unknownSlots := fake.FastCGIRecord(abortRecord, 9, "") +
		fake.FastCGIRecord(stdinRecord, 9, "z") + fake.FastCGIRecord(paramsRecord, 9, "z") +
		fake.FastCGIRecord(endRecord, 9, "\x00\x00\x00\x00\x00\x00\x00\x00") +
		fake.FastCGIRecord(dataRecord, 9, "z") + fastcgiRequest(5, nil)
	sequence := fastcgiRequest(6, nil) + fastcgiRequest(7, nil) + fastcgiRequest(8, nil)
	return []fastcgiForm{
		{"one contiguous request", fastcgiRequest(2, nil), []uint16{2}, 0},
		{"parameter records of one byte each", beginText(3) + paramsText(3, params3, 1) + stdinText(3, "x"), []uint16{3}, 0},
		{"two requests with alternating records", alternating, []uint16{3, 4}, 0},
		{"a get-values record and an unknown record type within a request", unknownRecords, []uint16{3}, 2},
		{"records for slots without a request, and an end record from the client", unknownSlots, []uint16{5}, 1},
		{"several requests in sequence", sequence, []uint16{6, 7, 8}, 0},
	}
}

// TestForms checks that every valid encoding of a request, written byte by byte, is answered like one that arrives in a
// single write. Records for slots without a request and records of unknown types must not affect a concurrent request on
// the same connection.
func TestForms(t *testing.T) {
	t.Parallel()
	bed := newReadyTestbed(t, nil)
	for i, form := range fastcgiForms() {
		bed.sendForm(form, uint16(20+i))
	}
}

// sendForm sends an encoding on a new connection on which another request stays open.
func (bed *testbed) sendForm(form fastcgiForm, openSlot uint16) {
	client := bed.dialClient()
	bed.startRun(client, openSlot)
	for i := range form.input {
		client.send(form.input[i : i+1])
	}
	for _, slot := range form.slots {
		bed.eventually(func() bool {
			_, runs := bed.takeLine(fmt.Sprintf("processor: begin %016x status", slot))
			return runs
		})
		bed.completeRun(slot)
		got := client.readResponse()
		for range form.records {
			if strings.HasPrefix(got, "record") {
				got = client.readResponse()
			}
		}
		if want := fmt.Sprintf("%d%s", slot, succeededLine); got != want {
			bed.t.Errorf("%s: got %q, want %q", form.name, got, want)
		}
	}
	bed.completeRun(openSlot)
	if got, want := client.readResponse(), fmt.Sprintf("%d%s", openSlot, succeededLine); got != want {
		bed.t.Errorf("%s, the concurrent request: got %q, want %q", form.name, got, want)
	}
	_ = client.conn.Close()
}
