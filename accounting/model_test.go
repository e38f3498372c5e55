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

// model is the simplest account that there can be: what became of each request.
type model struct {
	requests map[Ticket]modelRequest
	answers  map[Ticket]Reason
	cells    map[string]int64
	total    Counts
	open     []Ticket
	closed   []Ticket
}

type modelRequest struct {
	id       uint64
	handler  uint16
	frontend Frontend
}

func newModel() model {
	return model{
		requests: map[Ticket]modelRequest{},
		answers:  map[Ticket]Reason{},
		cells:    map[string]int64{},
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

// modelRun plays random calls to a ledger and to the model.
type modelRun struct {
	model
	ledger     *Ledger
	at         time.Duration
	notAllowed int64 // calls that the ledger must have rejected

	snapshot []byte
	periods  map[uint64][]byte // closed periods at the snapshot
	since    []Entry           // entries since the snapshot
}

// step makes one random call. A class of calls that needs a request gives way to another if there is none.
func (r *modelRun) step(t *rapid.T) {
	r.at += time.Duration(rapid.IntRange(-2500, 2600).Draw(t, "ms")) * time.Millisecond / 2
	switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
	case step < 4 || len(r.open) == 0 && step < 8:
		r.openRequest(t)
	case step < 6:
		r.answerRequest(t)
	case step < 7:
		r.sendResponse(t)
	case step < 8:
		r.closeRequest(t)
	case step < 9 && len(r.closed) > 0:
		r.closeAgain(t)
	default:
		r.ledger.SetFlushing(r.at, rapid.Bool().Draw(t, "begins"))
	}
	r.ledger.TakeEntries(func(entries []Entry) { r.since = append(r.since, entries...) })
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

func (r *modelRun) answerRequest(t *rapid.T) {
	ticket := rapid.SampledFrom(r.open).Draw(t, "request")
	reason := modelReasons.Draw(t, "reason")
	_, twice := r.answers[ticket]
	if r.ledger.ResponseWritten(r.at, ticket, reason) == twice {
		t.Fatal("a request is answered once")
	}
	if twice {
		r.notAllowed++
		return
	}
	r.answers[ticket] = reason
}

func (r *modelRun) sendResponse(t *rapid.T) {
	ticket := rapid.SampledFrom(r.open).Draw(t, "request")
	reason, isAnswered := r.answers[ticket]
	if r.ledger.ResponseSent(r.at, ticket) != isAnswered {
		t.Fatal("a response is sent if, and only if, the request was answered")
	}
	if !isAnswered {
		r.notAllowed++
		return
	}
	r.close(ticket, reason)
}

func (r *modelRun) closeRequest(t *rapid.T) {
	ticket := rapid.SampledFrom(r.open).Draw(t, "request")
	reason := modelReasons.Draw(t, "reason")
	if !r.ledger.Close(r.at, ticket, reason) {
		t.Fatal("an open request can be closed")
	}
	r.close(ticket, reason)
}

func (r *modelRun) closeAgain(t *rapid.T) {
	if r.ledger.Close(r.at, rapid.SampledFrom(r.closed).Draw(t, "request"), Aborted) {
		t.Fatal("closed twice")
	}
	r.notAllowed++
}

func (r *modelRun) takeSnapshot() {
	r.snapshot = r.ledger.AppendSnapshot(nil)
	r.since = nil
	first, next := r.ledger.Periods()
	for number := first; number < next; number++ {
		r.periods[number] = bytes.Clone(r.ledger.PeriodData(number))
	}
}

// checkCounts compares the ledger with the model.
func (r *modelRun) checkCounts(t *rapid.T) {
	r.ledger.Audit(r.at)
	r.ledger.CompareOpenRequests(r.at, func(isOpen func(Ticket, uint64)) {
		for _, ticket := range r.open {
			isOpen(ticket, r.requests[ticket].id)
		}
	})
	mismatches := r.ledger.MismatchCount()
	tooMany := mismatches > r.notAllowed
	unnoticed := r.notAllowed > 0 && len(r.ledger.knownGaps) == 0
	if r.ledger.Total() != r.total || tooMany || unnoticed {
		t.Fatalf("%+v, not %+v; %d mismatches, %d calls not allowed: %v",
			r.ledger.Total(), r.total, mismatches, r.notAllowed, r.ledger.knownGaps)
	}
	for cell, n := range r.ledger.cells {
		row, reason := cell/reasonCount, Reason(cell%reasonCount)
		name := cellName(uint16(row/frontendCount), Frontend(row%frontendCount), reason)
		if n != r.cells[name] {
			t.Fatalf("cell %s: %d, not %d", name, n, r.cells[name])
		}
	}
}

// checkRestored restores the ledger from the last snapshot and the entries since.
func (r *modelRun) checkRestored(t *rapid.T) *Ledger {
	restored, err := Restore(r.snapshot, func(number uint64) []byte { return r.periods[number] })
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range r.since {
		if err := restored.Apply(entry); err != nil {
			t.Fatal(entry, err)
		}
	}
	restored.EndReplay()
	if diff := cmp.Diff(r.ledger.AppendSnapshot(nil), restored.AppendSnapshot(nil)); diff != "" {
		t.Fatal("not the same ledger from its snapshot and entries: ", diff)
	}
	if _, err := restoreCopy(restored); err != nil {
		t.Fatal(err)
	}
	return restored
}

// checkRestarted restarts a restored ledger with another configuration.
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
		t.Fatalf("a new incarnation: %+v of %+v, %v", total, r.total, next.knownGaps)
	}
	if _, err := restoreCopy(next); err != nil {
		t.Fatal(err)
	}
}

// TestAgainstModel checks that after any calls in any order, also such as are not allowed, the ledger has the counts of the
// model, finds no mismatch beside the calls that are not allowed, and can be restored from a snapshot and the entries that
// followed it.
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
