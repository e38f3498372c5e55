package backend

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSignals checks that SIGHUP reloads the configuration, that an invalid configuration changes nothing, and that
// Main returns without an error after SIGTERM.
func TestSignals(t *testing.T) {
	bed := newTestbed(t)
	bed.options = map[string]string{"stop_ms": "500"}
	bed.startFakes("")
	bed.listenAddress = "127.0.0.1:0"
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("PROXY_CONFIG", path)
	write := func(text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(bed.configText())
	ended := make(chan error, 1)
	go func() {
		ended <- Main(func(*Config) error { return nil }, func(*Backend) (func(), error) { return func() {}, nil })
	}()
	got := bed.awaitQuiet(2)
	validConfig := bed.configText()
	for _, bad := range [][]byte{nil, validConfig[:len(validConfig)/2], []byte("[]"), []byte(`{"name":"n3"}`)} {
		write(bad)
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		got = append(got, bed.awaitQuiet(0)...)
	}
	_ = os.Remove(path)
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	got = append(got, bed.awaitQuiet(0)...)
	bed.startFakes("new ")
	write(bed.configText())
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	got = append(got, bed.awaitQuiet(2)...)
	want := []string{"control: lease n3 NotReady", "processor: hello 0", "new control: lease n3 NotReady", "new processor: hello 0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for _, p := range bed.fakeServers {
		p.stop()
	}
}
