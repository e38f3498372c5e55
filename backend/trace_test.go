package backend

import (
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/golden"

	"github.com/google/go-cmp/cmp"
)

// TestTraces plays the steps of each trace file against a backend on the loopback interface. The lines after a step are
// the output of the fakes that is expected after it.
func TestTraces(t *testing.T) {
	golden.CheckTraces(t, 4, func(t *testing.T, text string) string {
		return newTestbed(t).play(text)
	})
}

// ajpTraces are the traces that must show the same decisions over AJP. Most of the others test features of FastCGI:
// records and slots, malformed ones, floods, partial requests, many requests on one connection. In the traces link and
// pause the first request of each connection waits for its verification by the processor; over AJP every request would,
// since each has a connection of its own.
var ajpTraces = []string{"answers", "calls", "drain", "due", "forgotten", "life", "lost", "no-halt", "reload", "repeats", "spoilt", "tier"}

// TestTracesOverAJP plays traces over AJP. It ignores the lines that differ between the protocols: closed connections
// (over AJP each request has its own), responses to aborts (AJP has none), and reasons (an abort over AJP is the end of
// the connection).
func TestTracesOverAJP(t *testing.T) {
	if flag.Lookup("update").Value.String() == "true" {
		t.Skip("the trace files are recorded over FastCGI")
	}
	for _, name := range ajpTraces {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile("testdata/" + name + ".trace")
			if err != nil {
				t.Fatal(err)
			}
			want := withoutFastCGI(string(text))
			diff := ""
			for range 4 { // retried like TestTraces, since test machines stall at times
				bed := newTestbed(t)
				bed.useAJP = true
				if diff = cmp.Diff(want, withoutFastCGI(bed.play(want))); diff == "" {
					return
				}
			}
			t.Error(diff)
		})
	}
}

// withoutFastCGI returns a trace without the lines that differ over AJP.
func withoutFastCGI(trace string) string {
	var out strings.Builder
	for line := range strings.Lines(trace) {
		printed := strings.HasPrefix(line, "    ")
		if printed && (strings.Contains(line, "connection closed") ||
			strings.HasSuffix(line, "ends with 0, , \"\"\n") || strings.HasPrefix(line, "    counters: reasons")) {
			continue
		}
		out.WriteString(line)
	}
	return out.String()
}

// play plays the steps of a trace, and returns the trace with the output that was printed.
func (bed *testbed) play(trace string) string {
	return golden.ReplaySteps(trace, func(line string, expected int) []string {
		bed.step(strings.Fields(line))
		return bed.awaitQuiet(expected)
	})
}

// stepHandlers maps the first word of a step to its function, which takes the remaining words.
var stepHandlers = map[string]func(bed *testbed, words []string){
	"start":     func(bed *testbed, words []string) { bed.start(parseOptions(words)) },
	"wait":      func(_ *testbed, words []string) { time.Sleep(parseDuration(words[0])) },
	"leave":     func(bed *testbed, _ []string) { bed.shutDown() },
	"dies":      func(bed *testbed, _ []string) { bed.crash() },
	"disk":      (*testbed).diskStep,
	"moves":     (*testbed).moveStep,
	"pause":     (*testbed).pauseStep,
	"owner":     (*testbed).ownerStep,
	"crowd":     (*testbed).openIdleConns,
	"many":      (*testbed).sendMany,
	"figures":   func(bed *testbed, _ []string) { bed.print("figures", "%s", bed.reasons()) },
	"kept":      (*testbed).printKept,
	"counters":  (*testbed).printCounters,
	"processor": func(bed *testbed, words []string) { bed.fakeStep(bed.processor, words) },
	"tier":      func(bed *testbed, words []string) { bed.fakeStep(bed.upstream, words) },
	"old":       (*testbed).replacedFakeStep,
	"edge":      (*testbed).clientStep,
}

// step plays one step.
func (bed *testbed) step(words []string) {
	handler := stepHandlers[words[0]]
	if handler == nil {
		bed.t.Fatal("unknown step:", words)
	}
	handler(bed, words[1:])
}

func parseDuration(word string) time.Duration {
	d, _ := time.ParseDuration(word)
	return d
}

// parseOptions parses words of the form name=value. In a value "_" stands for a space, and 2048*x for 2048 times x.
func parseOptions(words []string) map[string]string {
	options := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		if times, unit, ok := strings.Cut(value, "*"); ok {
			if n, err := strconv.Atoi(times); err == nil {
				value = strings.Repeat(unit, n)
			}
		}
		options[name] = strings.ReplaceAll(value, "_", " ")
	}
	return options
}

// unescape joins words with spaces and interprets escape sequences as in a Go string.
func (bed *testbed) unescape(words []string) string {
	text, err := strconv.Unquote(`"` + strings.Join(words, " ") + `"`)
	if err != nil {
		bed.t.Fatal(words, err)
	}
	return text
}

// diskStep makes the disk stall, resume or fail.
func (bed *testbed) diskStep(words []string) {
	switch words[0] {
	case "holds":
		bed.diskGate.Lock()
	case "goes":
		bed.diskGate.Unlock()
	case "fails":
		bed.disk.CutPower()
	}
}

// moveStep starts new fakes and reloads the configuration with their addresses.
func (bed *testbed) moveStep([]string) {
	bed.startFakes("new ")
	bed.backend.Reload(bed.config())
}

// pauseStep blocks the owner for a time, as when the machine stalls; its input stays unread.
func (bed *testbed) pauseStep(words []string) {
	bed.backend.loop.Post(func() { time.Sleep(parseDuration(words[0])) })
}

// ownerStep blocks the owner from "holds" until "goes"; the input that arrives meanwhile becomes one batch.
func (bed *testbed) ownerStep(words []string) {
	if words[0] != "holds" {
		close(bed.ownerGate)
		return
	}
	gate, held := make(chan struct{}), make(chan struct{})
	bed.ownerGate = gate
	bed.backend.loop.Post(func() {
		close(held)
		<-gate
	})
	<-held
}

// openIdleConns opens connections and sends nothing on them. Its words are the number of connections, and the number
// that may stay open.
func (bed *testbed) openIdleConns(words []string) {
	n, _ := strconv.Atoi(words[0])
	limit, _ := strconv.Atoi(words[1])
	var conns []net.Conn
	for range n {
		if conn, err := net.Dial("tcp", bed.listenAddress); err == nil {
			conns = append(conns, conn)
			bed.t.Cleanup(func() { _ = conn.Close() })
		}
	}
	time.Sleep(500 * time.Millisecond)
	open := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if open > limit || open < limit/2 {
		bed.print("crowd", "%d of %d stay open", open, n)
	} else {
		bed.print("crowd", "at most %d stay open, and more than half of that", limit)
	}
}

// sendMany sends the given number of requests, each with an id, a caller and a connection of its own. It leaves half of
// the connections open.
func (bed *testbed) sendMany(words []string) {
	n, _ := strconv.Atoi(words[0])
	done := 0
	for i := range n {
		conn, err := net.Dial("tcp", bed.listenAddress)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, fastcgiRequest(1, map[string]string{
			"HTTP_X_REQUEST_ID": fmt.Sprintf("%016x", 1<<20+i),
			"HTTP_X_CALLER":     strconv.Itoa(1000 + i),
			"HTTP_X_OBJECT":     strconv.Itoa(i),
		}))
		head := make([]byte, 24)
		if _, err := io.ReadFull(conn, head); err == nil && strings.HasSuffix(string(head), "Status: 200 OK\r\n") {
			done++
		}
		if i%2 == 0 {
			_ = conn.Close()
		} else {
			bed.t.Cleanup(func() { _ = conn.Close() })
		}
	}
	bed.print("many", "%d of %d done", done, n)
}

// printKept prints how many requests, connections and other objects the backend holds.
func (bed *testbed) printKept([]string) {
	b := bed.backend
	b.loop.Post(func() {
		bed.print("kept", "%d reqs, %d connections, %d strange, %d calls, %d wires, %d results, %d trials, %d bytes half read",
			len(b.requests), len(b.frontend.clients), len(b.processor.unverified), b.upstream.callsInFlight(), b.upstream.connectionCount(),
			len(b.results.byID), len(b.processor.pendingChecks), b.frontend.partialBytes)
	})
}

func (bed *testbed) printCounters([]string) {
	c := bed.backend.Counters()
	bed.print("counters", "taken %d = served %d + refused %d + failed %d + open %d, differs %d, owed %d, bad connections %d, "+
		"begun %d, ended %d, repeated %d, rejects %d, remarks %d, broken %d",
		c.Requests.Received, c.Requests.Served, c.Requests.Rejected, c.Requests.Failed, c.Requests.Open, c.Mismatches, c.Pending,
		c.BadConns, c.Started, c.Ended, c.Repeated, c.Rejects, c.Remarks, c.Broken)
	bed.print("counters", "%s", bed.reasons())
}

// reasons returns the numbers of closed requests by reason, or the mismatch if the accounts have one.
func (bed *testbed) reasons() string {
	report := bed.backend.Accounting()
	if wrong := report.Check(); wrong != "" {
		return "differ: " + wrong
	}
	reasons := map[string]int64{}
	for _, row := range report.Rows {
		for reason, n := range row.Reasons {
			reasons[reason] += n
		}
	}
	return fmt.Sprintf("reasons %v", reasons)
}

// replacedFakeStep plays a step of a fake that moveStep has replaced.
func (bed *testbed) replacedFakeStep(words []string) {
	server := map[string]*fakeServer{"processor": bed.fakeServers[0], "tier": bed.fakeServers[1]}[words[0]]
	bed.fakeStep(server, words[1:])
}

// fakeStep plays a step of the fake of the processor or the upstream tier.
func (bed *testbed) fakeStep(server *fakeServer, words []string) {
	verb, rest := words[0], words[1:]
	switch verb {
	case "says":
		server.write(bed.unescape(rest) + "\r\n")
	case "notes": // a numbered notice: its first word, its arguments, and a body
		bed.noticeCount++
		last := len(rest) - 1
		body := bed.unescape(rest[last:])
		server.write(fmt.Sprintf("%s %d %s %d\r\n%s\r\n", rest[0], bed.noticeCount, strings.Join(rest[1:last], " "), len(body), body))
	case "replies":
		body := bed.unescape(rest[1:])
		server.write(fmt.Sprintf("%s ok %d\r\n%s\r\n", rest[0], len(body), body))
	case "misses": // the processor rejects this id from now on
		bed.mu.Lock()
		bed.knownIDs[rest[0]] = false
		bed.mu.Unlock()
	case "runs":
		server.setMode(&server.completesAll, rest)
	case "forgets":
		server.setMode(&server.resetsReused, rest)
	case "mute":
		server.setMode(&server.ignoresGaugeRequests, rest)
	case "breaks":
		server.close()
	case "shuts":
		server.stop()
	}
}

// setMode sets a mode of the fake to true if words is empty or starts with "on", otherwise to false.
func (p *fakeServer) setMode(mode *bool, words []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*mode = len(words) == 0 || words[0] == "on"
}

// clientStep plays a step of a client. Its words are the client's name, a verb, the slot, and options.
func (bed *testbed) clientStep(words []string) {
	name, verb := words[0], words[1]
	slot := uint16(1)
	if len(words) > 2 {
		n, _ := strconv.Atoi(words[2])
		slot = uint16(n)
	}
	if verb == "closes" {
		bed.closeClient(name)
		return
	}
	client := bed.client(name, slot)
	if client.conn == nil {
		return
	}
	if verb == "aborts" && bed.useAJP { // over AJP a client aborts by closing its connection
		_ = client.conn.Close()
		delete(bed.clients, fmt.Sprint(name, "/", slot))
		return
	}
	_, _ = client.conn.Write([]byte(bed.clientText(verb, slot, words)))
}

// closeClient closes all connections of a client.
func (bed *testbed) closeClient(name string) {
	for key, client := range bed.clients {
		if key == name || strings.HasPrefix(key, name+"/") {
			_ = client.conn.Close()
			delete(bed.clients, key)
		}
	}
}

// clientText returns the bytes that a client sends for a verb.
func (bed *testbed) clientText(verb string, slot uint16, words []string) string {
	request := fastcgiRequest
	if bed.useAJP {
		request = ajpRequest
	}
	text := ""
	switch verb {
	case "connects":
	case "sends":
		options := parseOptions(words[3:])
		if ago, ok := options["ago"]; ok {
			delete(options, "ago")
			options["HTTP_X_REQUEST_START"] = strconv.FormatInt(time.Now().Add(-parseDuration(ago)).UnixMilli(), 10)
		}
		text = request(slot, options)
	case "checks":
		query := strings.Join(words[3:], "&")
		text = request(slot, map[string]string{"secret": "s3cret", "SCRIPT_NAME": "/_health", "QUERY_STRING": query})
	case "fills": // all slots, each with a complete request
		for i := range uint16(32) {
			text += request(i+1, map[string]string{"HTTP_X_REQUEST_ID": fmt.Sprintf("%016x", 4096+int(i))})
		}
	case "starts": // a number of requests that stay incomplete
		for i := range slot {
			text += beginText(i+1) + fake.FastCGIRecord(paramsRecord, i+1, strings.Repeat("x", 4000))
		}
	case "half": // a request over AJP whose body is cut short
		whole := ajpRequest(slot, map[string]string{"body": "a body that is cut"})
		text = whole[:len(whole)-9]
	case "aborts":
		text = fake.FastCGIAbort(slot)
	case "raw":
		raw, err := hex.DecodeString(strings.Join(words[2:], ""))
		if err != nil {
			bed.t.Fatal(words, err)
		}
		text = string(raw)
	}
	return text
}
