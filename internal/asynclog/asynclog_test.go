package asynclog

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedLog is a writer that blocks until its gate is closed. After that the first
// writes fail.
type blockedLog struct {
	gate chan struct{}

	mu       sync.Mutex // guards the fields below
	failures int        // number of writes that still fail
	text     strings.Builder
}

func (l *blockedLog) Write(p []byte) (int, error) {
	<-l.gate
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures > 0 {
		l.failures--
		return 0, errors.New("no space left on device")
	}
	return l.text.Write(p)
}

// TestBlockedLog checks that Write does not wait for a log that is blocked, and that the
// number of dropped lines is reported when the log accepts lines again.
func TestBlockedLog(t *testing.T) {
	log := &blockedLog{gate: make(chan struct{}), failures: 1}
	w := New(log)
	for range maxQueued + 50 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	w.Flush(time.Millisecond)
	close(log.gate)
	w.Flush(time.Minute)
	_, _ = w.Write([]byte("last\n"))
	w.Flush(time.Minute)
	log.mu.Lock()
	defer log.mu.Unlock()
	text := log.text.String()
	if !strings.HasSuffix(text, "last\n") || !strings.Contains(text, "log lines dropped: ") {
		t.Error(len(text), text[max(0, len(text)-80):])
	}
}
