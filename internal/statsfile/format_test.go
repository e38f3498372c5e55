package statsfile

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"io"
	"os"
	"testing"
	"time"

	"frosthub/accounting"

	"github.com/google/go-cmp/cmp"
)

// storedFile returns the content of testdata/v1.figures.gz, a file of format version 1 that was written before the types
// of the ledger were renamed. It holds three incarnations (one that exited, one that was killed while it handed over a
// response, one that still ran), every reason, every front end, expired periods, customers, a recorded mismatch, open
// requests, and entries that no snapshot includes.
func storedFile(t *testing.T) []byte {
	t.Helper()
	packed, err := os.Open("testdata/v1.figures.gz")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = packed.Close() })
	unpacked, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStoredFileReport checks that a stored file gives the same reports, byte for byte in JSON, as the program that
// wrote the file: from the file as it is, and after a restart with other handlers and fewer customers and periods.
func TestStoredFileReport(t *testing.T) {
	data := storedFile(t)
	ledger, err := Read(data)
	if err != nil {
		t.Fatal(err)
	}
	entries, err := RecentEntries(data)
	if err != nil {
		t.Fatal(err)
	}
	trail := make([]string, len(entries))
	for i := range entries {
		trail[i] = entries[i].String()
	}
	report := ledger.Report(true)
	next := accounting.Config{Handlers: []string{"claims"}, MaxCustomers: 2, MaxPeriods: 4, PeriodLength: time.Second}
	restarted, err := ledger.Restart(next, noon+time.Hour, 0)
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(map[string]any{
		"report":     report,
		"difference": report.Check(),
		"restarted":  restarted.Report(true),
		"trail":      trail,
	}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/v1.golden.json")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)+"\n"); diff != "" {
		t.Error("the report of a stored file has changed (-want +got):", diff)
	}
}

// TestStoredFileEncoding checks that encoding the decoded parts of a stored file gives the same bytes: the header, each
// entry of the ring, both snapshots.
func TestStoredFileEncoding(t *testing.T) {
	data := storedFile(t)
	var stored layout
	if err := stored.decode(data); err != nil {
		t.Fatal(err)
	}
	header := make([]byte, headerSize)
	stored.encode(header)
	if !bytes.Equal(header, data[:headerSize]) {
		t.Error("the header is encoded differently")
	}
	entries, err := RecentEntries(data)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) == 0 {
		t.Error("the ring holds no entries")
	}
	for i := range entries {
		var encoded [accounting.EntrySize]byte
		entries[i].Encode(encoded[:])
		offset := stored.entryOffset(entries[i].Seq)
		if !bytes.Equal(encoded[:], data[offset:offset+accounting.EntrySize]) {
			t.Errorf("entry %d is encoded differently", entries[i].Seq)
		}
	}
	for area := range 2 {
		offset := stored.snapshotOffset(area)
		length := int(binary.LittleEndian.Uint64(data[offset:]))
		snapshot := data[offset+snapshotHeaderSize : offset+snapshotHeaderSize+length]
		ledger, err := accounting.Restore(snapshot, func(number uint64) []byte { return readPeriod(data, stored, number) })
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(ledger.AppendSnapshot(nil), snapshot) {
			t.Errorf("snapshot %d is encoded differently", area)
		}
	}
}
