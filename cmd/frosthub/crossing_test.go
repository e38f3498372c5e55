package main

import (
	"bytes"
	"flag"
	"fmt"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

var restarts = flag.Int("restarts", 5, "how often a box is restarted each way; 100 outside CI")

// asks sends one req over a new connection, and tells whether its result came.
func asks(address string, id uint64) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	r := fake.Request{ID: id, Handler: "status", Caller: 1, Start: time.Now().UnixMilli(), CostMS: 1}
	if _, err := c.Write([]byte(r.FastCGI(1))); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	var got bytes.Buffer
	buf := make([]byte, 1024)
	for !bytes.Contains(got.Bytes(), []byte("\r\n\r\n")) {
		n, err := c.Read(buf)
		if err != nil {
			return false
		}
		got.Write(buf[:n])
	}
	return bytes.Contains(got.Bytes(), []byte("Status: 200 OK"))
}

// waits until it is so.
func waits(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestNoticeAtStart: a notice that comes while a program is still starting ends it well, before it serves.
func TestNoticeAtStart(t *testing.T) {
	t.Parallel()
	x := newRig(t, 1, everyReq(time.Millisecond), "")
	config := filepath.Join(x.box.Dir, "gate")
	if err := syscall.Mkfifo(config, 0o600); err != nil {
		t.Fatal(err)
	}
	x.box.ConfigPipe = config
	if err := x.box.Launch(); err != nil {
		t.Fatal(err)
	}
	gate, err := os.OpenFile(config, os.O_WRONLY, 0) // the program stands at its configuration
	if err != nil {
		t.Fatal(err)
	}
	if err := x.box.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	text, _ := x.box.Config()
	_, _ = gate.Write(text)
	_ = gate.Close()
	if err := x.box.Drain(); err != nil {
		t.Error(err, x.box.Log())
	}
	if strings.Contains(x.box.Log(), "msg=serving") {
		t.Error("it began to serve:", x.box.Log())
	}
}

// TestNoDescriptors: where the process runs out of descriptors, once and again, it goes on at little cost, and serves again once there are
// some.
func TestNoDescriptors(t *testing.T) {
	t.Parallel()
	x := newRig(t, 1, everyReq(time.Millisecond), "")
	x.start()
	t.Cleanup(x.end)
	waits(t, "it does not serve", func() bool { return asks(x.box.Listen, 1) })
	pid := x.box.PID()
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	resident, err := x.box.Resident()
	if err != nil {
		t.Fatal(err)
	}
	for episode := range 3 {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(open)) - 3, Max: before.Max}, nil); err != nil {
			t.Fatal(err)
		}
		told := strings.Count(x.box.Log(), "too many open files")
		var waiting []net.Conn
		waits(t, "nothing is out", func() bool {
			if c, err := net.Dial("tcp", x.box.Listen); err == nil {
				waiting = append(waiting, c)
			}
			return strings.Count(x.box.Log(), "too many open files") > told
		})
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
			t.Fatal(err)
		}
		waits(t, "it does not serve again", func() bool { return asks(x.box.Listen, uint64(2+episode)) })
		for _, c := range waiting {
			_ = c.Close()
		}
	}
	if now, err := x.box.Resident(); err != nil || now > resident+16<<10 {
		t.Error("it holds", now, "KB,", resident, "before", err)
	}
	if err := x.box.Drain(); err != nil {
		t.Error(err, x.box.Log())
	}
}

// TestRestarts measures how long a restarted box takes until it answers a req: nine in ten within 10 s are owed.
func TestRestarts(t *testing.T) {
	for _, way := range []struct {
		name        string
		busy, after bool // all cores are; the processor comes up after the box
	}{{"calm", false, false}, {"processor after", false, true}, {"all cores busy", true, false}} {
		t.Run(way.name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			for range runtime.NumCPU() {
				if way.busy {
					go func() {
						for n := 0; ; n++ {
							select {
							case <-done:
								return
							default:
							}
						}
					}()
				}
			}
			x := newRig(t, 1, everyReq(time.Millisecond), "")
			var all []time.Duration
			for i := range *restarts {
				if way.after {
					address, err := harness.FreeAddress()
					if err != nil {
						t.Fatal(err)
					}
					x.box.Processor = address
				}
				begun := time.Now()
				if err := x.box.Launch(); err != nil {
					t.Fatal(err)
				}
				if way.after {
					waits(t, "it does not listen", func() bool {
						c, err := net.Dial("tcp", x.box.Listen)
						if err == nil {
							_ = c.Close()
						}
						return err == nil
					})
					p, err := fake.NewProcessorAt(x.box.Processor, 1, everyReq(time.Millisecond))
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(p.Close)
				}
				waits(t, "it does not serve", func() bool { return asks(x.box.Listen, uint64(1000+i)) })
				all = append(all, time.Since(begun))
				if i%2 == 0 {
					if err := x.box.Drain(); err != nil {
						t.Error(err, x.box.Log())
					}
				} else if err := x.box.Kill(); err != nil {
					t.Error(err)
				}
			}
			slices.Sort(all)
			t.Logf("%d restarts: least %v, median %v, nine in ten %v, most %v", len(all), all[0], all[len(all)/2], all[len(all)*9/10], all[len(all)-1])
			if late := all[(len(all)*9-1)/10]; late > 10*time.Second {
				t.Error("nine in ten take", late)
			}
		})
	}
}
