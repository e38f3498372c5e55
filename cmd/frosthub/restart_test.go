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

var restarts = flag.Int("restarts", 5, "number of restarts in each case; 100 outside CI")

// TestSignalDuringStart sends SIGTERM while the program reads its configuration. The program must exit without an error and without serving.
func TestSignalDuringStart(t *testing.T) {
	t.Parallel()
	node := newTestNode(t, 1, constantWork(time.Millisecond), "")
	configPipe := filepath.Join(node.process.Dir, "gate")
	if err := syscall.Mkfifo(configPipe, 0o600); err != nil {
		t.Fatal(err)
	}
	node.process.ConfigPipe = configPipe
	if err := node.process.Launch(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(configPipe, os.O_WRONLY, 0) // returns once the program has opened the pipe and waits for its configuration
	if err != nil {
		t.Fatal(err)
	}
	if err := node.process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the program has not handled the signal", func() bool { return handledSignals(t, node.process.PID()) })
	text, err := node.process.Config()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = pipe.Write(text)
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	if err := node.process.Drain(); err != nil {
		t.Error(err, node.process.Log())
	}
	if strings.Contains(node.process.Log(), "msg=serving") {
		t.Error("the program started to serve:", node.process.Log())
	}
}

// handledSignals reports whether a process has no pending signal and all of its threads sleep. It has then finished its reaction to earlier signals
// and waits for another event.
func handledSignals(t *testing.T, pid int) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil || len(threads) == 0 {
		t.Fatal("the process has no threads: ", err)
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

// TestDescriptorExhaustion lowers the process's limit of file descriptors below those in use, three times. The process must continue without using
// much more memory, and serve again once the limit is raised.
func TestDescriptorExhaustion(t *testing.T) {
	t.Parallel()
	node := newTestNode(t, 1, constantWork(time.Millisecond), "")
	node.start()
	t.Cleanup(node.kill)
	waitFor(t, "the node does not serve", func() bool { return requestServed(node.process.Listen, 1) })
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
		openFiles, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(openFiles)) - 3, Max: limit.Max}, nil); err != nil {
			t.Fatal(err)
		}
		logged := strings.Count(node.process.Log(), "too many open files")
		var waiting []net.Conn
		waitFor(t, "the program has not logged that its descriptors are exhausted", func() bool {
			if conn, err := net.Dial("tcp", node.process.Listen); err == nil {
				waiting = append(waiting, conn)
			}
			return strings.Count(node.process.Log(), "too many open files") > logged
		})
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the node does not serve again", func() bool { return requestServed(node.process.Listen, uint64(2+episode)) })
		for _, conn := range waiting {
			_ = conn.Close()
		}
	}
	if current, err := node.process.Resident(); err != nil || current > resident+16<<10 {
		t.Error("resident memory in KB is", current, "and was at first", resident, err)
	}
	if err := node.process.Drain(); err != nil {
		t.Error(err, node.process.Log())
	}
}

// maxRestartTime is the limit of the 90th percentile of the times to serve.
const maxRestartTime = 10 * time.Second

// TestRestarts measures the time from the start of a node to its first served request.
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
				endProcess := node.process.Kill
				if i%2 == 0 {
					endProcess = node.process.Drain
				}
				if err := endProcess(); err != nil {
					t.Error(err, node.process.Log())
				}
			}
			slices.Sort(times)
			count := len(times)
			t.Logf("%d restarts: min %v, median %v, 90th percentile %v, max %v", count, times[0], times[count/2], times[count*9/10], times[count-1])
			if ninetieth := times[(count*9-1)/10]; ninetieth > maxRestartTime {
				t.Error("90% of the restarts take up to", ninetieth)
			}
		})
	}
}

// occupyCores keeps all cores busy until the test ends.
func occupyCores(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for range runtime.NumCPU() {
		go func() {
			for ctx.Err() == nil { // busy loop
			}
		}()
	}
}

// timeToServe starts a node and returns the time until it serves a request. With lateProcessor it starts a new processor once the node listens.
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
		waitFor(t, "the node does not listen", func() bool {
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
	waitFor(t, "the node does not serve", func() bool { return requestServed(node.process.Listen, id) })
	return time.Since(started)
}
