package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/harness"

	"golang.org/x/sys/unix"
)

var restarts = flag.Int("restarts", 5, "restarts of each kind; 100 outside CI")

// TestSignalDuringStart sends SIGTERM while the program is starting: it ends without an error, before it serves.
func TestSignalDuringStart(t *testing.T) {
	t.Parallel()
	node := newTestNode(t, 1, constantWork(time.Millisecond), "")
	config := filepath.Join(node.process.Dir, "gate")
	if err := syscall.Mkfifo(config, 0o600); err != nil {
		t.Fatal(err)
	}
	node.process.ConfigPipe = config
	if err := node.process.Launch(); err != nil {
		t.Fatal(err)
	}
	gate, err := os.OpenFile(config, os.O_WRONLY, 0) // the program waits for its configuration
	if err != nil {
		t.Fatal(err)
	}
	if err := node.process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the program does not handle the signal", func() bool { return handledSignals(t, node.process.PID()) })
	text, err := node.process.Config()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = gate.Write(text)
	if err := gate.Close(); err != nil {
		t.Fatal(err)
	}
	if err := node.process.Drain(); err != nil {
		t.Error(err, node.process.Log())
	}
	if strings.Contains(node.process.Log(), "msg=serving") {
		t.Error("it began to serve:", node.process.Log())
	}
}

// handledSignals reports whether a process has no signal pending and all of its threads sleep: then it has done all that a signal leads
// to until it hears of something else.
func handledSignals(t *testing.T, pid int) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil || len(threads) == 0 {
		t.Fatal("no threads: ", err)
	}
	for _, thread := range threads {
		status, err := os.ReadFile(thread)
		if err != nil {
			return false // the thread has just ended
		}
		for line := range strings.Lines(string(status)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
			value = strings.TrimSpace(value)
			switch name {
			case "State":
				if !strings.HasPrefix(value, "S") {
					return false
				}
			case "SigPnd", "ShdPnd":
				if strings.Trim(value, "0") != "" {
					return false
				}
			}
		}
	}
	return true
}

// TestDescriptorExhaustion takes the process's file descriptors away three times: it goes on at little cost, and serves again once there are some.
func TestDescriptorExhaustion(t *testing.T) {
	t.Parallel()
	node := newTestNode(t, 1, constantWork(time.Millisecond), "")
	node.start()
	t.Cleanup(node.kill)
	waitFor(t, "it does not serve", func() bool { return requestServed(node.process.Listen, 1) })
	pid := node.process.PID()
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		t.Fatal(err)
	}
	resident, err := node.process.Resident()
	if err != nil {
		t.Fatal(err)
	}
	for episode := range 3 {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(open)) - 3, Max: limit.Max}, nil); err != nil {
			t.Fatal(err)
		}
		logged := strings.Count(node.process.Log(), "too many open files")
		var waiting []net.Conn
		waitFor(t, "descriptors are not exhausted", func() bool {
			if conn, err := net.Dial("tcp", node.process.Listen); err == nil {
				waiting = append(waiting, conn)
			}
			return strings.Count(node.process.Log(), "too many open files") > logged
		})
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "it does not serve again", func() bool { return requestServed(node.process.Listen, uint64(2+episode)) })
		for _, conn := range waiting {
			_ = conn.Close()
		}
	}
	if now, err := node.process.Resident(); err != nil || now > resident+16<<10 {
		t.Error("resident memory is", now, "KB, and was", resident, err)
	}
	if err := node.process.Drain(); err != nil {
		t.Error(err, node.process.Log())
	}
}

// maxRestartTime is how long nine in ten restarts may take.
const maxRestartTime = 10 * time.Second

// TestRestarts measures how long a restarted node takes to serve a request.
func TestRestarts(t *testing.T) {
	for _, test := range []struct {
		name          string
		busyCores     bool
		lateProcessor bool // the processor starts after the node
	}{
		{name: "idle"},
		{name: "processor after", lateProcessor: true},
		{name: "all cores busy", busyCores: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.busyCores {
				occupyCores(t)
			}
			node := newTestNode(t, 1, constantWork(time.Millisecond), "")
			var times []time.Duration
			for i := range *restarts {
				times = append(times, timeToServe(t, node, test.lateProcessor, uint64(1000+i)))
				end := node.process.Kill
				if i%2 == 0 {
					end = node.process.Drain
				}
				if err := end(); err != nil {
					t.Error(err, node.process.Log())
				}
			}
			slices.Sort(times)
			count := len(times)
			t.Logf("%d restarts: min %v, median %v, 90th percentile %v, max %v", count, times[0], times[count/2], times[count*9/10], times[count-1])
			if ninetieth := times[(count*9-1)/10]; ninetieth > maxRestartTime {
				t.Error("nine in ten take", ninetieth)
			}
		})
	}
}

// occupyCores keeps all cores busy until the end of the test.
func occupyCores(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for range runtime.NumCPU() {
		go func() {
			for ctx.Err() == nil { // spin
			}
		}()
	}
}

// timeToServe starts a node, and its processor after it if that is late, and returns how long it takes to serve a request.
func timeToServe(t *testing.T, node *testNode, lateProcessor bool, id uint64) time.Duration {
	t.Helper()
	if lateProcessor {
		address, err := harness.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		node.process.Processor = address
	}
	started := time.Now()
	if err := node.process.Launch(); err != nil {
		t.Fatal(err)
	}
	if lateProcessor {
		waitFor(t, "it does not listen", func() bool {
			conn, err := net.Dial("tcp", node.process.Listen)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		})
		processor, err := fake.NewProcessorAt(node.process.Processor, 1, constantWork(time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(processor.Close)
	}
	waitFor(t, "it does not serve", func() bool { return requestServed(node.process.Listen, id) })
	return time.Since(started)
}
