package statsfile

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"frosthub/accounting"
	"frosthub/internal/filelock"

	"github.com/google/go-cmp/cmp"
)

// countsText formats counts as received=served+rejected+failed+open. All counts in these tests are below ten.
func countsText(c accounting.Counts) string {
	return fmt.Sprintf("%d=%d+%d+%d+%d", c.Received, c.Served, c.Rejected, c.Failed, c.Open)
}

// lastIncarnationText returns the state and the counts of the last incarnation in a file, and the total.
func lastIncarnationText(t *testing.T, path string) string {
	t.Helper()
	ledger, _, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	list, _, _ := ledger.Incarnations()
	last := list[len(list)-1]
	return strings.Join([]string{last.State.String(), countsText(last.Counts), countsText(ledger.Total())}, ", ")
}

// TestIncarnations checks that the counts of three processes stay with their incarnations and handlers: one that exited,
// one that was killed, and one with renamed handlers.
func TestIncarnations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	open := func(ledger *accounting.Ledger, id uint64, handler string) accounting.Ticket {
		return ledger.Open(noon, id, ledger.HandlerIndex(handler), accounting.FastCGI, accounting.CustomerName{})
	}
	var got []string

	ledger, recorder, _ := openLedger(t, path)
	ticket := open(ledger, 1, "file-claim")
	ledger.ResponseWritten(noon, ticket, accounting.Completed)
	ledger.ResponseSent(noon, ticket)
	open(ledger, 2, "status")
	ledger.EndIncarnation(accounting.OpenAtExit, accounting.Exited)
	recorder.Close(ledger, noon)
	got = append(got, lastIncarnationText(t, path))

	ledger, recorder, _ = openLedger(t, path)
	ticket = open(ledger, 3, "status")
	open(ledger, 4, "status")
	ledger.ResponseWritten(noon, ticket, accounting.Shed)
	ledger.SetFlushing(noon, true)
	recorder.Append(ledger, noon)
	recorder.Abandon()
	got = append(got, lastIncarnationText(t, path))

	ledger, recorder, _ = openLedgerWith(t, path, accounting.Config{Handlers: []string{"claims", "status"}})
	list, _, _ := ledger.Incarnations()
	killed := list[len(list)-2]
	got = append(got, killed.State.String()+", "+countsText(killed.Counts))
	if killed.Uncertain != 1 || killed.UncertainIDs[0] != 3 {
		t.Error("requests of uncertain delivery: ", killed.UncertainIDs)
	}
	open(ledger, 5, "claims")
	recorder.Append(ledger, noon)
	for _, row := range ledger.Report(false).Rows {
		got = append(got, row.Handler+" "+countsText(row.Counts))
	}
	recorder.Close(ledger, noon)

	want := []string{
		"left, 2=1+0+1+0, 2=1+0+1+0",
		"runs, 2=0+0+0+2, 4=1+0+1+2",
		"killed, 2=0+0+2+0",
		"claims 1=0+0+0+1",
		"status 3=0+0+3+0",
		"file-claim 1=1+0+0+0",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestLockedFile checks that a second process can't open a file that is in use, and runs without recording.
func TestLockedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	ledger, recorder, _ := openLedger(t, path)
	if !Locked(path) {
		t.Error("the file is not locked")
	}
	other, second, log := openLedger(t, path)
	if second.Recording() || !strings.Contains(log.String(), filelock.ErrBusy.Error()) {
		t.Error(log)
	}
	openRequest(other, noon, 9)
	second.Append(other, noon)
	second.Close(other, noon)
	openRequest(ledger, noon, 8)
	recorder.Append(ledger, noon)
	if recorded, _, err := ReadFile(path); err != nil || recorded.Total().Received != 1 {
		t.Error(err)
	}
	recorder.Close(ledger, noon)
	if Locked(path) {
		t.Error("the file is still locked")
	}
}

// recording is a ledger with its recorder. Its time advances with each call.
type recording struct {
	*testing.T
	ledger   *accounting.Ledger
	recorder *Recorder
	log      *bytes.Buffer
	at       time.Duration
	id       uint64
}

// awaitRecording opens requests until Recording returns want. If want is true, it also waits until no background task
// runs.
func (r *recording) awaitRecording(want bool) {
	r.Helper()
	settled := func() bool { return r.recorder.Recording() == want && (!want || !r.recorder.taskRunning) }
	for end := time.Now().Add(waitTimeout); !settled(); {
		if time.Now().After(end) {
			r.Fatal("timeout: Recording does not become ", want, r.log)
		}
		r.id++
		r.at += time.Second
		openRequest(r.ledger, r.at, r.id)
		r.recorder.Append(r.ledger, r.at)
		time.Sleep(time.Millisecond) // there is no other way to detect progress of the background task
	}
}

// awaitLog advances the time until the log contains the text.
func (r *recording) awaitLog(text string) {
	r.Helper()
	for end := time.Now().Add(waitTimeout); !strings.Contains(r.log.String(), text); {
		if time.Now().After(end) {
			r.Fatal(r.log)
		}
		r.at += time.Second
		r.recorder.Append(r.ledger, r.at)
	}
}

// TestFailures checks three failures of a recorded file: it is truncated while mapped, it is removed, and the disk is
// full. Each is logged and stops only the recording; once the cause is gone, recording resumes with all counts.
func TestFailures(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "figures")
	ledger, recorder, log := openLedger(t, path)
	r := &recording{T: t, ledger: ledger, recorder: recorder, log: log, at: noon}

	r.awaitRecording(true)
	if err := os.Truncate(path, headerSize); err != nil {
		t.Fatal(err)
	}
	r.awaitRecording(false)
	if !strings.Contains(log.String(), ErrNotWritable.Error()) {
		t.Error(log)
	}

	r.awaitRecording(true)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	r.awaitRecording(false)
	r.awaitLog("no such file")

	full := errors.New("no space left on device")
	replaceAllocate(t, func() error { return full }) // before the directory exists, because the background task may retry at any moment
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	r.awaitLog(full.Error())
	for recorder.taskRunning { // waits for the attempt on the full disk to end
		r.at += time.Millisecond
		recorder.Append(ledger, r.at)
	}
	allocateOverride.Store(nil)

	r.awaitRecording(true)
	openRequest(ledger, r.at, r.id+1)
	recorder.Append(ledger, r.at)
	recorded, _, err := ReadFile(path)
	if err != nil || recorded.Total() != ledger.Total() {
		t.Error(err, recorded.Total(), ledger.Total())
	}
	if names := glob(t, path+unpublishedMark+"*"); len(names) > 0 {
		t.Error("unpublished files left behind: ", names)
	}
	recorder.Close(ledger, r.at)
}

// TestOutgrown checks that a ledger that no longer fits its file gets a larger one.
func TestOutgrown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	ledger, recorder, log := openLedger(t, path)
	at := noon
	size := len(recorder.file.data)
	for i := range 16 * spareOpenRequests {
		openRequest(ledger, noon, uint64(i))
		if i%100 == 0 {
			at += time.Second
			recorder.Append(ledger, at)
		}
	}
	grown := func() bool {
		return recorder.Recording() && !recorder.taskRunning && len(recorder.file.data) != size
	}
	for end := time.Now().Add(waitTimeout); !grown(); at += time.Second {
		if time.Now().After(end) {
			t.Fatal(log)
		}
		recorder.Append(ledger, at)
		time.Sleep(time.Millisecond)
	}
	recorder.Append(ledger, at)
	recorded, _, err := ReadFile(path)
	logged := strings.Contains(log.String(), ErrTooSmall.Error())
	if err != nil || recorded.Total() != ledger.Total() || !logged {
		t.Error(err, log, recorded.Total(), ledger.Total())
	}
	recorder.Close(ledger, at)
}

func heapSize() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestConstantSize checks that a million requests of new customers do not increase memory use and file size.
func TestConstantSize(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	ledger, recorder, _ := openLedger(t, path)
	at := noon
	run := func(requests int) {
		for i := range requests {
			if i%1000 == 0 {
				at += time.Second
			}
			customer := accounting.NewCustomerName([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
			ticket := ledger.Open(at, uint64(i), uint16(i%3), accounting.FastCGI, customer)
			ledger.ResponseWritten(at, ticket, accounting.Shed)
			ledger.ResponseSent(at, ticket)
			if i%10 == 0 {
				recorder.Append(ledger, at)
			}
		}
		recorder.Append(ledger, at)
	}
	run(20_000)
	heapBefore, sizeBefore := heapSize(), len(recorder.file.data)
	run(1_000_000)
	heap, size := heapSize(), len(recorder.file.data)
	if heap > heapBefore+heapBefore/10+100<<10 || size != sizeBefore {
		t.Errorf("heap of %d bytes, before %d; file of %d bytes, before %d", heap, heapBefore, size, sizeBefore)
	}
	ledger.Audit(at)
	recorded, _, err := ReadFile(path)
	if err != nil || recorded.Total().Received != 1_020_000 || ledger.MismatchCount() > 0 {
		t.Error(err, recorded.Total())
	}
	recorder.Close(ledger, at)
}

// TestSlowDisk checks that a disk that does not respond in time disables recording for the process, and that the process
// does not share its ledger with the goroutine that still waits for the disk.
func TestSlowDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	slow := make(chan struct{})
	replaceAllocate(t, func() error {
		<-slow
		return errors.New("the disk responded too late")
	})
	var log bytes.Buffer
	recorder := NewRecorder(path, MinEntries, slog.New(slog.NewTextHandler(&log, nil)))
	fresh, err := accounting.New(testConfig)
	if err != nil {
		t.Fatal(err)
	}
	ledger := recorder.Open(fresh, testConfig, noon, 50*time.Millisecond)
	if ledger == fresh || recorder.Recording() || !strings.Contains(log.String(), "does not answer") {
		t.Error("Open records, shares the ledger, or does not log the timeout: ", log.String())
	}
	openRequest(ledger, noon, 1)
	recorder.Append(ledger, noon)
	recorder.Close(ledger, noon)
	close(slow)
	for end := time.Now().Add(openTimeout); Locked(path) && len(glob(t, path+unpublishedMark+"*")) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timeout: the goroutine that waited for the disk does not end")
		}
	}
}
