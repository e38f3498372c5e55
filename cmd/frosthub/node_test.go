package main

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/invariant"
)

// binary is the path of the program under test.
var binary string

// TestMain builds the program, with the tag debug if the tests are built with it.
func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "frosthub-test-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "frosthub")
	tags := "release"
	if invariant.Debug { // the program then stops at a broken invariant, as the tests do
		tags = "debug"
	}
	if out, err := exec.Command("go", "build", "-tags", tags, "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// testNode is a node with a fake processor, an AJP address and an accounting file.
type testNode struct {
	t                          *testing.T
	processor                  *fake.Processor
	process                    *harness.Process
	ajpAddress, accountingPath string
}

// constantWork returns a work function for fake processors that gives every request the same work.
func constantWork(work time.Duration) func(uint64, string) time.Duration {
	return func(uint64, string) time.Duration { return work }
}

// newTestNode returns a node that is not started. It replaces FRONT and FIGURES in the operator's file with the AJP address and the path of the
// accounting file.
func newTestNode(t *testing.T, cores float64, work func(uint64, string) time.Duration, conf string) *testNode {
	t.Helper()
	node := &testNode{t: t}
	var err error
	if node.processor, err = fake.NewProcessor(cores, work); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.processor.Close)
	address, err := harness.FreeAddress()
	if err == nil {
		node.ajpAddress, err = harness.FreeAddress()
	}
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	node.accountingPath = filepath.Join(dir, "figures")
	node.process = &harness.Process{
		Binary: binary, Dir: dir, Listen: address, Processor: node.processor.Address(), StopMS: 500,
		OperatorFile: strings.NewReplacer("FRONT", node.ajpAddress, "FIGURES", node.accountingPath).Replace(conf),
	}
	return node
}

// start starts the node, and returns once it accepts connections.
func (n *testNode) start() {
	n.t.Helper()
	if err := n.process.Start(); err != nil {
		n.t.Fatal(err)
	}
}

// kill kills the node.
func (n *testNode) kill() { _ = n.process.Kill() }

// waitReady waits until the node at the address serves a claim, and fails the test after 20 seconds.
func waitReady(t *testing.T, address string) {
	t.Helper()
	client := fake.NewFastCGIClient(address)
	defer client.Close()
	for i, end := uint64(0), time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		request := fake.Request{ID: 1<<60 + i, Handler: "file-claim", Start: time.Now().UnixMilli(), Body: fmt.Sprint("ready", i), CostMS: 1}
		if client.Send(&request, time.Second) == fake.Served {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the node does not serve")
}

// requestServed sends one request over a new connection and reports whether it was served.
func requestServed(address string, id uint64) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	request := fake.Request{ID: id, Handler: "status", Caller: 1, Start: time.Now().UnixMilli(), CostMS: 1}
	if _, err := conn.Write([]byte(request.FastCGI(1))); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	var received bytes.Buffer
	buf := make([]byte, 1024)
	for !bytes.Contains(received.Bytes(), []byte("\r\n\r\n")) {
		n, err := conn.Read(buf)
		if err != nil {
			return false
		}
		received.Write(buf[:n])
	}
	return bytes.Contains(received.Bytes(), []byte("Status: 200 OK"))
}

// waitFor waits until the condition holds, and fails the test with the given message after 20 seconds.
func waitFor(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// logTail returns the last 2000 bytes of a log.
func logTail(log string) string { return log[max(0, len(log)-2000):] }

// firstCounter returns a counter's value from the first line of a log with counters. A process logs its counters when it ends after a drain.
func firstCounter(t *testing.T, log, name string) int {
	t.Helper()
	_, rest, _ := strings.Cut(log, "counters."+name+"=")
	value := 0
	if _, err := fmt.Sscanf(rest, "%d", &value); err != nil {
		t.Fatalf("the log has no counter %s: %v", name, err)
	}
	return value
}
