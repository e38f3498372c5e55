package asynclog

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// held is a log behind which nobody reads until it is let go; then it fails so often.
type held struct {
	mu    sync.Mutex
	gate  chan struct{}
	fails int
	text  strings.Builder
}

func (h *held) Write(p []byte) (int, error) {
	<-h.gate
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fails > 0 {
		h.fails--
		return 0, errors.New("no space left on device")
	}
	return h.text.Write(p)
}

// TestNobodyWaits: who logs does not wait for a log that takes nothing; what is left out is told once it takes lines again.
func TestNobodyWaits(t *testing.T) {
	h := &held{gate: make(chan struct{}), fails: 1}
	w := New(h)
	for range linesMost + 50 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	w.Flush(time.Millisecond)
	close(h.gate)
	w.Flush(time.Minute)
	_, _ = w.Write([]byte("last\n"))
	w.Flush(time.Minute)
	h.mu.Lock()
	defer h.mu.Unlock()
	if text := h.text.String(); !strings.HasSuffix(text, "last\n") || !strings.Contains(text, "log lines left out: ") {
		t.Error(len(text), text[max(0, len(text)-80):])
	}
}
