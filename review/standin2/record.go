//go:build review

// Package standin2 has the stand-ins and the recorder of the cases 6 to 10.
package standin2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Trouble reports whether the disruption is to take place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt of a case. It is safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
	broken int
}

// NewRecord creates record.txt in the folder of the case.
func NewRecord() *Record {
	file, err := os.Create("record.txt")
	if err != nil {
		Fatal(err)
	}
	return &Record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}
}

// Line writes one line with the time since the start of the case.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%10.3f ms  %s\n", time.Since(r.start).Seconds()*1000, fmt.Sprintf(format, args...))
}

// Break records one break of the rule, in the file and on standard output.
func (r *Record) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Line("RULE BROKEN: %s", text)
	r.mu.Lock()
	r.broken++
	if r.broken <= 5 {
		fmt.Println("rule broken:", text)
	}
	r.mu.Unlock()
}

// Broken returns the number of breaks so far.
func (r *Record) Broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// Close writes the file and returns the exit status of the case.
func (r *Record) Close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
	fmt.Println("breaks of the rule:", r.broken)
	if r.broken > 0 {
		return Broken
	}
	return Held
}

// Fatal ends a case that can't run.
func Fatal(err error) {
	fmt.Println("could not run:", err)
	StopAll()
	os.Exit(NotRun)
}
