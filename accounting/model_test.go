package accounting

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// model is a reference implementation of the ledger that keeps every request and no more than simple counts.
type model struct {
	requests  map[Ticket]modelRequest
	responses map[Ticket]Reason
	cells     map[string]int64
	total     Counts
	open      []Ticket
	closed    []Ticket
}

type modelRequest struct {
	id       uint64
	handler  uint16
	frontend Frontend
}

func newModel() model {
	return model{
		requests:  map[Ticket]modelRequest{},
		responses: map[Ticket]Reason{},
		cells:     map[string]int64{},
	}
}

func cellName(handler uint16, frontend Frontend, reason Reason) string {
	return fmt.Sprintf("%d %d %d", handler, frontend, reason)
}

func (m *model) opened(ticket Ticket, request modelRequest) {
	m.requests[ticket] = request
	m.open = append(m.open, ticket)
	m.cells[cellName(request.handler, request.frontend, NoReason)]++
	m.total.addOpened()
}

func (m *model) close(ticket Ticket, reason Reason) {
	request := m.requests[ticket]
	m.open = slices.DeleteFunc(m.open, func(other Ticket) bool { return other == ticket })
	m.closed = append(m.closed, ticket)
	m.cells[cellName(request.handler, request.frontend, reason)]++
	m.total.addClosed(reason)
}

var (
	modelReasons   = rapid.SampledFrom([]Reason{Completed, Shed, Expired, BadFields, Aborted, ConnectionLost, RunFailed})
	modelCustomers = rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""})
)

// modelRun applies random calls to a ledger and to the model.
type modelRun struct {
	model
	ledger     *Ledger
	at         time.Duration
	notAllowed int64 // number of calls that the ledger must have rejected

	snapshot     []byte
	periods      map[uint64][]byte // encoded closed periods at the time of the snapshot
	entriesSince []Entry           // entries recorded since the snapshot
}

// step makes one random call. A call that needs an open or closed request is replaced by another call if there is no
// such request.
func (r *modelRun) step(t *rapid.T) {
	r.at += time.Duration(rapid.IntRange(-2500, 2600).Draw(t, "ms")) * time.Millisecond / 2
	switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
	case step < 4 || len(r.open) == 0 && step < 8:
		r.openRequest(t)
	case step < 6:
		r.writeResponse(t)
	case step < 7:
		r.sendResponse(t)
	case step < 8:
		r.closeRequest(t)
	case step < 9 && len(r.closed) > 0:
		r.closeAgain(t)
	default:
		r.ledger.SetFlushing(r.at, rapid.Bool().Draw(t, "begins"))
	}
	r.ledger.TakeEntries(func(entries []Entry) { r.entriesSince = append(r.entriesSince, entries...) })
	if rapid.IntRange(0, 30).Draw(t, "snapshot") == 0 {
		r.takeSnapshot()
	}
}

func (r *modelRun) openRequest(t *rapid.T) {
	request := modelRequest{
		id:       rapid.Uint64().Draw(t, "id"),
		handler:  uint16(rapid.IntRange(0, 2).Draw(t, "handler")),
		frontend: Frontend(rapid.IntRange(0, frontendCount-1).Draw(t, "frontend")),
	}
	customer := NewCustomerName([]byte(modelCustomers.Draw(t, "customer")))
	r.opened(r.ledger.Open(r.at, request.id, request.handler, request.frontend, customer), request)
}

func (r *modelRun) writeResponse(t *rapid.T) {
	ticket := rapid.SampledFrom(r.open).Draw(t, "request")
	reason := modelReasons.Draw(t, "reason")
	_, alreadyWritten := r.responses[ticket]
	if r.ledger.ResponseWritten(r.at, ticket, reason) == alreadyWritten {
		t.Fatal("ResponseWritten must be allowed exactly once for a request")
	}
	if alreadyWritten {
		r.notAllowed++
		return
	}
	r.responses[ticket] = reason
}

func (r *modelRun) sendResponse(t *rapid.T) {
	ticket := rapid.SampledFrom(r.open).Draw(t, "request")
	reason, written := r.responses[ticket]
	if r.ledger.ResponseSent(r.at, ticket) != written {
		t.Fatal("ResponseSent must be allowed if, and only if, the response was written")
	}
	if !written {
		r.notAllowed++
		return
	}
	r.close(ticket, reason)
}

func (r *modelRun) closeRequest(t *rapid.T) {
	ticket := rapid.SampledFrom(r.open).Draw(t, "request")
	reason := modelReasons.Draw(t, "reason")
	if !r.ledger.Close(r.at, ticket, reason) {
		t.Fatal("Close must be allowed for an open request")
	}
	r.close(ticket, reason)
}

func (r *modelRun) closeAgain(t *rapid.T) {
	if r.ledger.Close(r.at, rapid.SampledFrom(r.closed).Draw(t, "request"), Aborted) {
		t.Fatal("Close must not be allowed for a closed request")
	}
	r.notAllowed++
}

func (r *modelRun) takeSnapshot() {
	r.snapshot = r.ledger.AppendSnapshot(nil)
	r.entriesSince = nil
	first, next := r.ledger.Periods()
	for number := first; number < next; number++ {
		r.periods[number] = bytes.Clone(r.ledger.PeriodData(number))
	}
}

// checkCounts compares the counts and open requests of the ledger with the model.
func (r *modelRun) checkCounts(t *rapid.T) {
	r.ledger.Audit(r.at)
	r.ledger.CompareOpenRequests(r.at, func(yield func(Ticket, uint64)) {
		for _, ticket := range r.open {
			yield(ticket, r.requests[ticket].id)
		}
	})
	mismatches := r.ledger.MismatchCount()
	tooMany := mismatches > r.notAllowed
	unnoticed := r.notAllowed > 0 && len(r.ledger.recordedDifferences) == 0
	if r.ledger.Total() != r.total || tooMany || unnoticed {
		t.Fatalf("total %+v, want %+v; %d mismatches, %d calls not allowed: %v",
			r.ledger.Total(), r.total, mismatches, r.notAllowed, r.ledger.recordedDifferences)
	}
	for cell, n := range r.ledger.cells {
		row, reason := cell/reasonCount, Reason(cell%reasonCount)
		name := cellName(uint16(row/frontendCount), Frontend(row%frontendCount), reason)
		if n != r.cells[name] {
			t.Fatalf("cell %s: got %d, want %d", name, n, r.cells[name])
		}
	}
}

// checkRestored restores the ledger from the last snapshot and the entries since, compares it with the original, and
// returns it.
func (r *modelRun) checkRestored(t *rapid.T) *Ledger {
	restored, err := Restore(r.snapshot, func(number uint64) []byte { return r.periods[number] })
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range r.entriesSince {
		if err := restored.Apply(entry); err != nil {
			t.Fatal(entry, err)
		}
	}
	restored.EndReplay()
	if diff := cmp.Diff(r.ledger.AppendSnapshot(nil), restored.AppendSnapshot(nil)); diff != "" {
		t.Fatal("the ledger restored from its snapshot and entries differs: ", diff)
	}
	if _, err := restoreCopy(restored); err != nil {
		t.Fatal(err)
	}
	return restored
}

// checkRestarted restarts a restored ledger with another configuration and checks that its counts add up and are
// preserved.
func (r *modelRun) checkRestarted(t *rapid.T, restored *Ledger) {
	cfg := Config{
		Handlers:     []string{"file-claim", "new"},
		MaxCustomers: 2,
		MaxPeriods:   3,
		PeriodLength: 2 * time.Second,
	}
	next, err := restored.Restart(cfg, r.at, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	next.Audit(r.at)
	total := next.Total()
	lost := total.Received != r.total.Received || total.Served != r.total.Served
	if total.Open != 0 || lost || !total.balanced() || len(next.TakeMismatches()) > 0 {
		t.Fatalf("total after the restart %+v, before %+v; mismatches %v", total, r.total, next.recordedDifferences)
	}
	if _, err := restoreCopy(next); err != nil {
		t.Fatal(err)
	}
}

// TestAgainstModel checks that after random calls in random order, including calls that are not allowed, the ledger has
// the counts of the model, records no mismatches other than those of the calls that are not allowed, and can be restored
// from a snapshot and the entries that followed it.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, err := New(testConfig)
		if err != nil {
			t.Fatal(err)
		}
		run := modelRun{
			model:   newModel(),
			ledger:  ledger,
			at:      1000 * time.Hour,
			periods: map[uint64][]byte{},
		}
		ledger.StartIncarnation(run.at, time.Minute)
		ledger.SetRecording(true)
		run.snapshot = ledger.AppendSnapshot(nil)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			run.step(t)
		}
		run.checkCounts(t)
		restored := run.checkRestored(t)
		run.checkRestarted(t, restored)
	})
}
