package backend

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSignals: a configuration is read anew at SIGHUP, one that can't be used changes nothing, SIGTERM ends well.
func TestSignals(t *testing.T) {
	s := &stage{t: t, edges: map[string]*edgeNode{}, known: map[string]bool{}, options: map[string]string{"stop_ms": "500"}}
	s.newPeers("")
	s.listen = "127.0.0.1:0"
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("PROXY_CONFIG", path)
	write := func(text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(s.text())
	ended := make(chan error, 1)
	go func() {
		ended <- Main(func(*Config) error { return nil }, func(*Backend) (func(), error) { return func() {}, nil })
	}()
	got := s.settle(2)
	whole := s.text()
	for _, bad := range [][]byte{nil, whole[:len(whole)/2], []byte("[]"), []byte(`{"name":"n3"}`)} {
		write(bad)
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		got = append(got, s.settle(0)...)
	}
	_ = os.Remove(path)
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	got = append(got, s.settle(0)...)
	s.newPeers("new ")
	write(s.text())
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	got = append(got, s.settle(2)...)
	want := []string{"control: lease n3 NotReady", "processor: hello 0", "new control: lease n3 NotReady", "new processor: hello 0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for _, p := range s.peers {
		p.shut()
	}
}
