package backend

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"frosthub/accounting"
	"frosthub/internal/fake"
	"frosthub/lifecycle"
	"frosthub/overload"
	"io"
	"maps"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// These tests force the moments in which two events cross: the owner is held at a gate while the other event happens, or
// the event is posted to it, so that nothing hangs on how fast a machine is. docs/notes/crossings.md names them.

// longest is for an event that must come: a machine may stand still for long, and only a test that fails waits.
const longest = time.Minute

// crossing has a backend that serves, its processor up.
func crossing(t *testing.T, options map[string]string) *stage {
	s := &stage{t: t, edges: map[string]*edgeNode{}, known: map[string]bool{}}
	s.start(patiently(options))
	s.want("processor: hello 0")
	s.step([]string{"processor", "says", "hi warm 500000"})
	s.want("control: lease n3 Ready")
	s.until(func() bool { return s.b.processor.ready() })
	return s
}

// patiently has callers wait for a minute: no clock decides a crossing.
func patiently(options map[string]string) map[string]string {
	out := map[string]string{"timeout": "60000000", "target": "60000000", "grace": "60000000"}
	maps.Copy(out, options)
	return out
}

// take takes the first line that begins so, if a party has printed one.
func (s *stage) take(start string) (line string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.lines {
		if strings.HasPrefix(l, start) {
			s.lines = append(s.lines[:i:i], s.lines[i+1:]...)
			return l, true
		}
	}
	return "", false
}

// want waits until a party has printed the line, and takes it.
func (s *stage) want(line string) {
	s.t.Helper()
	got := ""
	if !s.within(func() (ok bool) { got, ok = s.take(line); return ok }) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.t.Fatalf("no %q, but %q", line, s.lines)
	}
	if got != line {
		s.t.Fatalf("%q, not %q", got, line)
	}
}

// never fails the test if a party has printed a line that begins so.
func (s *stage) never(start string) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		if strings.HasPrefix(l, start) {
			s.t.Errorf("%q", l)
		}
	}
}

func (s *stage) within(f func() bool) bool {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// holdOwner keeps the owner at a gate until the returned function is called.
func (s *stage) holdOwner(then ...func()) (release func()) {
	gate, held := make(chan struct{}), make(chan struct{})
	s.b.loop.Post(func() {
		close(held)
		<-gate
		for _, f := range then {
			f()
		}
	})
	<-held
	return sync.OnceFunc(func() { close(gate) })
}

// turn has the owner call f, and waits until the turn of that is over.
func (s *stage) turn(f func()) {
	done := make(chan struct{})
	s.b.loop.Post(func() { f(); s.b.loop.Post(func() { close(done) }) })
	select {
	case <-done:
	case <-s.b.done:
	}
}

// closes has the process be so near its stop that it closes now. Then the stop is far again: only a test that wants it
// comes to the phases after.
func (s *stage) closes() { s.turn(s.closing) }

func (s *stage) closing() {
	s.b.startDrain()
	s.b.process.SetKillTime(s.b.now + lifecycle.ClosingBefore)
	s.b.loop.Post(func() { s.b.process.SetKillTime(s.b.now + time.Minute) })
}

// client is one connection of an edge node whose answers are read one by one.
type client struct {
	t *testing.T
	c *net.TCPConn
	r *bufio.Reader
}

func (s *stage) client() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(longest))
	return &client{t: s.t, c: c.(*net.TCPConn), r: bufio.NewReader(c)}
}

func (c *client) sends(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.c, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads a whole answer: its slot and first line; "end" is the orderly end of the connection.
func (c *client) answer() string {
	text := ""
	for {
		head := make([]byte, 8)
		if _, err := io.ReadFull(c.r, head); errors.Is(err, io.EOF) {
			return "end"
		} else if err != nil {
			return err.Error()
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(c.r, content); err != nil {
			return err.Error()
		}
		if head[1] == 6 {
			text += string(content)
		} else if head[1] != 3 {
			return fmt.Sprint("record ", head[1])
		}
		if head[1] == 3 {
			line, _, _ := strings.Cut(text, "\r\n")
			return fmt.Sprintf("%d %s", binary.BigEndian.Uint16(head[2:]), line)
		}
	}
}

func (c *client) wants(all ...string) {
	c.t.Helper()
	for _, want := range all {
		if got := c.answer(); got != want {
			c.t.Errorf("%q, not %q", got, want)
		}
	}
}

// begins sends a req, and waits until it runs.
func (s *stage) begins(c *client, slot uint16) {
	s.t.Helper()
	c.sends(fastcgiRequest(slot, nil))
	s.want(fmt.Sprintf("processor: begin %016x status \"\"", slot))
}

// served has the connection be known: a req of it is run and answered.
func (s *stage) served(c *client, slot uint16) {
	s.t.Helper()
	s.begins(c, slot)
	s.ends(slot)
	c.wants(fmt.Sprintf("%d Status: 200 OK", slot))
}

// ends has the processor say that the run of a slot's req ended well.
func (s *stage) ends(slot uint16) {
	s.step([]string{"processor", "notes", "complete", fmt.Sprintf("%016x", slot), "ok", "5", "done"})
}

func (s *stage) over() {
	s.t.Helper()
	s.want("backend: ended: <nil>")
}

const (
	refusedLine = " Status: 503 Service Unavailable"
	erroredLine = " Status: 500 Internal Server Error"
	doneLine    = " Status: 200 OK"
)

// TestShutdownCrossings: SIGTERM and the closing that follows it, with a req in each place.
func TestShutdownCrossings(t *testing.T) {
	long := map[string]string{"stop_ms": "60000"}
	for _, x := range []struct {
		name string
		play func(s *stage)
	}{
		{"at rest: ended in order, a req that crosses it is not run", func(s *stage) {
			c := s.client()
			s.served(c, 1)
			s.closes()
			c.sends(fastcgiRequest(2, nil))
			c.wants("end")
			s.over()
			s.never("processor: begin 0000000000000002")
		}},
		{"in the ring when the closing begins: refused, and never run", func(s *stage) {
			c := s.client()
			s.served(c, 1)
			release := s.holdOwner(s.closing)
			c.sends(fastcgiRequest(2, nil))
			s.arrives()
			release()
			c.wants("2"+refusedLine, "end")
			s.over()
			s.never("processor: begin 0000000000000002")
		}},
		{"several, beside a run: each is refused, the connection ends after the run", func(s *stage) {
			c := s.client()
			s.begins(c, 1)
			s.closes()
			for slot := uint16(2); slot < 6; slot++ {
				c.sends(fastcgiRequest(slot, nil))
				c.wants(fmt.Sprintf("%d%s", slot, refusedLine))
			}
			s.ends(1)
			c.wants("1"+doneLine, "end")
			s.over()
			s.never("processor: begin 0000000000000003")
		}},
		{"one that asks for the end of its connection, beside a run: what follows is answered", func(s *stage) {
			c := s.client()
			s.begins(c, 1)
			c.sends(strings.Replace(fastcgiRequest(2, map[string]string{"HTTP_X_RANK": "soon"}), "\x00\x01\x01", "\x00\x01\x00", 1))
			c.wants("2 Status: 400 Bad Request")
			s.begins(c, 3)
			s.ends(3)
			c.wants("3" + doneLine)
			s.ends(1)
			c.wants("1"+doneLine, "end")
			s.closes()
			s.over()
		}},
		{"half read: its rest comes in the closing and is refused", func(s *stage) {
			c := s.client()
			s.served(c, 1)
			whole := fastcgiRequest(2, nil)
			c.sends(whole[:len(whole)-20])
			s.halfRead(1)
			s.closes()
			c.sends(whole[len(whole)-20:])
			c.wants("2"+refusedLine, "end")
			s.over()
			s.never("processor: begin 0000000000000002")
		}},
		{"half read for good: refused, and the connection ends", func(s *stage) {
			c := s.client()
			c.sends(fastcgiRequest(2, nil)[:30])
			s.halfRead(1)
			s.closes()
			s.turn(func() { s.b.process.SetKillTime(s.b.now + lifecycle.EndingBefore) })
			c.wants("2"+refusedLine, "end")
			s.over()
		}},
		{"whole and not handled, in the same batch as the notice: taken on, within the grace", func(s *stage) {
			c := s.client()
			s.served(c, 1)
			release := s.holdOwner()
			s.leave()
			c.sends(fastcgiRequest(2, nil))
			release()
			s.want(`processor: begin 0000000000000002 status ""`)
			s.ends(2)
			c.wants("2" + doneLine)
			s.closes()
			c.wants("end")
			s.over()
		}},
		{"in the accept queue: taken, and refused", func(s *stage) {
			release := s.holdOwner(s.closing)
			c := s.client()
			c.sends(fastcgiRequest(2, nil))
			release()
			if got := c.answer(); got != "2"+refusedLine && got != "end" { // the latter if its bytes came after it was ended
				s.t.Error(got)
			}
			s.over()
			s.never("processor: begin 0000000000000002")
		}},
		{"running: its end in the closing is answered, then its connection ends", func(s *stage) {
			c := s.client()
			s.begins(c, 1)
			s.closes()
			s.ends(1)
			c.wants("1"+doneLine, "end")
			s.over()
		}},
		{"running for good: answered before the stop", func(s *stage) {
			c := s.client()
			s.begins(c, 1)
			s.closes()
			s.turn(func() { s.b.process.SetKillTime(s.b.now + lifecycle.ExitBefore) })
			c.wants("1" + erroredLine)
			s.over()
		}},
		{"strange, and the processor says nothing: not waited for in the closing", func(s *stage) {
			s.step([]string{"processor", "mute"})
			c := s.client()
			c.sends(fastcgiRequest(1, nil))
			s.strangers(1)
			s.closes()
			s.want(`processor: begin 0000000000000001 status ""`)
			s.ends(1)
			c.wants("1"+doneLine, "end")
			s.over()
		}},
		{"a deep check at the processor: answered in the closing", func(s *stage) {
			s.turn(func() { s.b.advice.shallowChecks = false })
			c := s.client()
			c.sends(fastcgiRequest(1, map[string]string{"SCRIPT_NAME": "/_health", "QUERY_STRING": "deep=1"}))
			s.until(func() bool { return len(s.b.processor.pendingTrials) == 1 })
			s.closes()
			c.wants("1"+refusedLine, "end")
			s.over()
		}},
		{"a second notice changes nothing", func(s *stage) {
			c := s.client()
			s.begins(c, 1)
			s.closes()
			var before, after time.Duration
			s.turn(func() {
				before = s.b.process.KillTime()
				s.b.now += time.Millisecond
				s.b.startDrain()
				after = s.b.process.KillTime()
			})
			if before != after {
				s.t.Error("the stop moved by", after-before)
			}
			s.ends(1)
			c.wants("1"+doneLine, "end")
			s.over()
		}},
		{"SIGHUP in the drain and in the closing: what runs goes on", func(s *stage) {
			c := s.client()
			s.begins(c, 1)
			s.turn(s.b.startDrain)
			s.step([]string{"moves"})
			s.want("new processor: hello 0")
			s.step([]string{"processor", "says", "hi warm 500100"})
			s.closes()
			s.step([]string{"moves"})
			s.want("new processor: hello 0")
			s.step([]string{"processor", "says", "hi warm 500200"})
			s.ends(1)
			c.wants("1"+doneLine, "end")
			s.over()
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			x.play(crossing(t, long))
		})
	}
	t.Run("before the processor is up: refused, and the process ends", func(t *testing.T) {
		t.Parallel()
		s := &stage{t: t, edges: map[string]*edgeNode{}, known: map[string]bool{}}
		s.start(patiently(long))
		s.want("processor: hello 0")
		c := s.client()
		c.sends(fastcgiRequest(1, nil))
		c.wants("1" + refusedLine)
		s.closes()
		c.wants("end")
		s.over()
	})
}

// arrives waits until something waits for the owner, which is held.
func (s *stage) arrives() {
	s.t.Helper()
	if !s.within(func() bool { return !s.b.loop.Idle() }) {
		s.t.Fatal("nothing arrives")
	}
}

// TestGrace: what is read after the grace does not start a run, whatever it says of when it came; and the grace runs from the notice, also
// where that is heard of late or before the processor is up.
func TestGrace(t *testing.T) {
	t.Parallel()
	const past = 300 * time.Millisecond // the grace of these stages
	options := map[string]string{"stop_ms": "60000", "grace": fmt.Sprint(past.Microseconds())}
	longAgo := map[string]string{"HTTP_X_REQUEST_START": fmt.Sprint(time.Now().Add(-2 * time.Second).UnixMilli())}
	for _, x := range []struct {
		name string
		play func(s *stage, c *client)
	}{
		{"stamped before the notice", func(s *stage, c *client) {
			s.turn(func() { s.noticed(past + time.Millisecond) })
			c.sends(fastcgiRequest(2, longAgo))
			c.wants("2" + refusedLine)
		}},
		{"the notice is heard of late", func(s *stage, c *client) {
			s.turn(func() {
				s.b.heartbeat = lifecycle.Heartbeat{}
				s.b.heartbeat.Beat(s.b.now - past - time.Millisecond) // it last ran then
				s.b.startDrain()
			})
			c.sends(fastcgiRequest(2, nil))
			c.wants("2" + refusedLine)
		}},
		{"it waits for the processor's word when the grace ends", func(s *stage, _ *client) {
			s.step([]string{"processor", "mute"})
			other := s.client() // the processor does not know it yet
			other.sends(fastcgiRequest(2, nil))
			s.strangers(1)
			s.turn(func() {
				s.noticed(past + time.Millisecond)
				s.b.processor.admitAll()
			})
			other.wants("2" + refusedLine)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := crossing(t, options)
			c := s.client()
			s.served(c, 1)
			x.play(s, c)
			s.refusedInTime()
		})
	}
	t.Run("the notice comes before the processor is up", func(t *testing.T) {
		t.Parallel()
		s := &stage{t: t, edges: map[string]*edgeNode{}, known: map[string]bool{}}
		s.start(patiently(options))
		s.want("processor: hello 0")
		s.turn(func() { s.noticed(past + time.Millisecond) })
		s.step([]string{"processor", "says", "hi warm 500000"})
		s.until(func() bool { return s.b.processor.ready() })
		c := s.client()
		c.sends(fastcgiRequest(2, nil))
		c.wants("2" + refusedLine)
		s.refusedInTime()
	})
}

// refusedInTime: the second req never ran, and the overload controller itself knew that it may not.
func (s *stage) refusedInTime() {
	s.t.Helper()
	s.never("processor: begin 0000000000000002")
	if n := s.b.Counters().Violations; n != 0 {
		s.t.Error("kept at the last moment:", n)
	}
}

// noticed has the notice to leave have come so long ago.
func (s *stage) noticed(ago time.Duration) {
	s.b.heartbeat = lifecycle.Heartbeat{}
	s.b.heartbeat.Beat(s.b.now - ago)
	s.b.startDrain()
}

// TestClockSteps: after a step of the time of day reqs are served as before, whether it is the node's clock alone that stepped or that of
// all that runs on its machine.
func TestClockSteps(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		s := crossing(t, nil)
		s.turn(func() { s.b.arrivals.Turn(s.b.now, s.b.wall-step) }) // the next turn sees it step
		c := s.client()
		s.served(c, 1)
		stamped := time.Now().Add(-step)
		c.sends(fastcgiRequest(2, map[string]string{"HTTP_X_REQUEST_START": fmt.Sprint(stamped.UnixMilli())}))
		s.want(`processor: begin 0000000000000002 status ""`)
		s.ends(2)
		c.wants("2" + doneLine)
		if s.b.Counters().ClockSteps == 0 {
			t.Error("the step is not counted")
		}
	}
}

// halfRead waits until so many connections hold a req that is not whole.
func (s *stage) halfRead(n int) {
	s.t.Helper()
	s.until(func() bool {
		have := 0
		for e := range s.b.frontend.clients {
			if len(e.requests) == 0 && e.protocol.openSlots() > 0 {
				have++
			}
		}
		return have == n
	})
}

// strangers waits until the processor is asked for so many reqs.
func (s *stage) strangers(n int) {
	s.t.Helper()
	s.until(func() bool { return len(s.b.processor.unverified) == n })
}

// until waits until the owner finds it so.
func (s *stage) until(f func() bool) {
	s.t.Helper()
	if !s.within(func() bool {
		is := false
		s.turn(func() { is = f() })
		return is
	}) {
		s.t.Fatal("it does not come about")
	}
}

// TestBrokenStream: who breaks the protocol gets the answers of what was read whole of it, and then the end.
func TestBrokenStream(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	c := s.client()
	s.begins(c, 1)
	c.sends(fastcgiRequest(2, nil)[:30] + strings.Repeat("?", 40)) // half a req, and what is no record
	c.sends(fastcgiRequest(3, nil))
	s.until(func() bool { return s.b.stats.BadConns == 1 })
	s.ends(1)
	c.wants("1"+doneLine, "end")
	s.never("processor: begin 0000000000000003")
	s.until(func() bool { return len(s.b.frontend.clients) == 0 && s.b.frontend.partialBytes == 0 })
}

// TestPartsLetGo: what is held of reqs that never come whole is let go with their answers, however they end.
func TestPartsLetGo(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	c := s.client()
	s.served(c, 20)
	const parts = 4
	for slot := range uint16(parts) {
		c.sends(fake.FastCGIRecord(1, slot+1, "\x00\x01\x01\x00\x00\x00\x00\x00") + fake.FastCGIRecord(4, slot+1, strings.Repeat("x", 1000)))
	}
	s.until(func() bool { return s.b.frontend.partialBytes == parts*1000 })
	for range parts {
		s.turn(func() {
			s.b.now += partialTimeout
			s.b.frontend.sweep()
		})
		if got := c.answer(); !strings.HasSuffix(got, " Status: 400 Bad Request") {
			t.Error(got)
		}
	}
	s.until(func() bool { return s.b.frontend.partialBytes == 0 })
}

// TestSilentFlood: clients that take all places and say nothing, or half a word, leave one for an edge node, at once, and those for calls.
func TestSilentFlood(t *testing.T) {
	t.Parallel()
	for _, says := range []string{"", "\x01"} {
		s := crossing(t, map[string]string{"sockets": "64"})
		for range 200 {
			c, err := net.Dial("tcp", s.listen)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = io.WriteString(c, says)
		}
		s.until(func() bool { return s.b.stats.Conns > 100 }) // those that came between two turns found no room
		c := s.client()
		s.served(c, 1)
		s.until(func() bool {
			return s.b.stats.ConnsTrimmed > 0 && int(s.b.loop.Open.Load()) <= s.b.frontend.connectionLimit()
		})
	}
}

// TestSlowDial: a connection that stands only after its call was given up carries another one, and never that call.
func TestSlowDial(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	c := s.client()
	s.begins(c, 1)
	s.turn(func() {
		r := s.b.requests[1]
		s.b.processor.onCallRequest(r, []byte("what"))
		s.b.runController() // its call is being dialled for
		if !s.within(func() bool { s.tier.mu.Lock(); defer s.tier.mu.Unlock(); return len(s.tier.all) == 1 }) {
			t.Error("nobody dials")
		}
		s.b.runEnded(r, overload.Failed, accounting.RunFailed, 0, nil) // the connection stands, and the owner does not know of it yet
	})
	c.wants("1" + erroredLine)
	s.until(func() bool { return s.b.upstream.inFlight() == 0 })
	s.begins(c, 2)
	s.step([]string{"processor", "notes", "ask", "0000000000000002", "what"})
	s.want(`tier: invoke 0000000000000002 "what"`)
	s.never("tier: invoke 0000000000000001")
	s.step([]string{"tier", "replies", "0000000000000002", "that"})
	s.want(`processor: answer 0000000000000002 "that"`)
	s.ends(2)
	c.wants("2" + doneLine)
}

// fullListener is a next tier whose queue of connections is full: a dial hangs until it is let go.
func fullListener(t *testing.T) (address string, goes func() net.Listener) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "full")
	ln, err := net.FileListener(file)
	_ = file.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	for { // until one hangs
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return ln.Addr().String(), func() net.Listener { return ln }
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestSilentDial: a dial that nobody answers does not end its call while that has time.
func TestSilentDial(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	address, goes := fullListener(t)
	cfg := s.config()
	cfg.Upstream = address
	s.b.Reload(cfg)
	c := s.client()
	s.begins(c, 1)
	s.step([]string{"processor", "notes", "ask", "0000000000000001", "what"})
	s.until(func() bool { return s.b.logLimits["next tier not reached"] != nil })
	go func() {
		ln := goes()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				line, err := bufio.NewReader(c).ReadString('\n')
				if id, _, _ := strings.Cut(strings.TrimPrefix(line, "invoke "), " "); err == nil {
					_, _ = io.WriteString(c, id+" ok 4\r\nthat\r\n")
				}
			}()
		}
	}()
	s.want(`processor: answer 0000000000000001 "that"`)
	s.ends(1)
	c.wants("1" + doneLine)
}

// TestForms: every legal form of a req, written byte by byte, is answered as if it had come whole; what no slot of the
// connection has begun, and what the protocol does not know, does no harm to a req that is open beside it.
func TestForms(t *testing.T) {
	t.Parallel()
	params := func(slot uint16, text string, step int) (out string) {
		for i := 0; i < len(text); i += step {
			out += fake.FastCGIRecord(4, slot, text[i:min(len(text), i+step)])
		}
		return out + fake.FastCGIRecord(4, slot, "")
	}
	text := func(slot uint16) (out string) {
		for k, v := range usual(slot, nil) {
			out += fake.FastCGIPair(k, v)
		}
		return out
	}
	begin := func(slot uint16) string { return fake.FastCGIRecord(1, slot, "\x00\x01\x01\x00\x00\x00\x00\x00") }
	body := func(slot uint16, text string) string {
		return fake.FastCGIRecord(5, slot, text) + fake.FastCGIRecord(5, slot, "")
	}
	a, b := text(3), text(4)
	forms := []struct {
		name, in string
		done     []uint16
		records  int // others than answers
	}{
		{"in one piece", fastcgiRequest(2, nil), []uint16{2}, 0},
		{"parameters of one byte a record", begin(3) + params(3, a, 1) + body(3, "x"), []uint16{3}, 0},
		{"two reqs whose records alternate", begin(3) + begin(4) + fake.FastCGIRecord(4, 3, a) + fake.FastCGIRecord(4, 4, b) + fake.FastCGIRecord(4, 3, "") +
			fake.FastCGIRecord(4, 4, "") + fake.FastCGIRecord(5, 4, "y") + fake.FastCGIRecord(5, 3, "x") + fake.FastCGIRecord(5, 4, "") + fake.FastCGIRecord(5, 3, ""), []uint16{3, 4}, 0},
		{"a question for values and an unknown type between", begin(3) + fake.FastCGIRecord(9, 0, "\x0f\x00FCGI_MPXS_CONNS") + params(3, a, 100) +
			fake.FastCGIRecord(77, 0, "what") + body(3, "x"), []uint16{3}, 2},
		{"records of slots that never began, and an end of its own", fake.FastCGIRecord(2, 9, "") + fake.FastCGIRecord(5, 9, "z") + fake.FastCGIRecord(4, 9, "z") +
			fake.FastCGIRecord(3, 9, "\x00\x00\x00\x00\x00\x00\x00\x00") + fake.FastCGIRecord(8, 9, "z") + fastcgiRequest(5, nil), []uint16{5}, 1},
		{"reqs one after the other in one piece", fastcgiRequest(6, nil) + fastcgiRequest(7, nil) + fastcgiRequest(8, nil), []uint16{6, 7, 8}, 0},
	}
	s := crossing(t, nil)
	for i, form := range forms {
		open := uint16(20 + i) // a req that is open all the while
		c := s.client()
		s.begins(c, open)
		for k := range form.in {
			c.sends(form.in[k : k+1])
		}
		for _, slot := range form.done {
			s.within(func() bool { _, runs := s.take(fmt.Sprintf("processor: begin %016x status", slot)); return runs })
			s.ends(slot)
			got := c.answer()
			for range form.records {
				if strings.HasPrefix(got, "record") {
					got = c.answer()
				}
			}
			if want := fmt.Sprintf("%d%s", slot, doneLine); got != want {
				t.Errorf("%s: %q, not %q", form.name, got, want)
			}
		}
		s.ends(open)
		if got, want := c.answer(), fmt.Sprintf("%d%s", open, doneLine); got != want {
			t.Errorf("%s, the req beside it: %q, not %q", form.name, got, want)
		}
		_ = c.c.Close()
	}
}

// TestReplyCrossesCancel: the reply to a call that is given up in the same moment goes nowhere, and the connection that
// carried it carries no other call.
func TestReplyCrossesCancel(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	c := s.client()
	s.begins(c, 1)
	s.step([]string{"processor", "notes", "ask", "0000000000000001", "what"})
	s.want(`tier: invoke 0000000000000001 "what"`)
	release := s.holdOwner()
	s.b.loop.Post(func() { s.b.frontend.abort(s.b.requests[1].client, 1) }) // as an abort that is read first
	s.step([]string{"tier", "replies", "0000000000000001", "late"})
	release()
	s.until(func() bool { return s.b.upstream.inFlight() == 0 && s.b.upstream.connections() == 0 })
	s.want("tier: cancel 0000000000000001")
	s.step([]string{"processor", "notes", "complete", "0000000000000001", "halted", "5", "-"})
	s.until(func() bool { return len(s.b.requests) == 0 })
	s.never("processor: answer")
}

// TestResetInAnswer: a connection that ends while an answer is on its way leaves nothing behind, and is told of.
func TestResetInAnswer(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	c := s.client()
	s.begins(c, 1)
	s.turn(func() {
		r := s.b.requests[1]
		e := r.client
		s.b.runEnded(r, overload.OK, accounting.Completed, 0, []byte("done")) // written, and not sent before the turn is over
		e.conn.Abort(syscall.ECONNRESET)
	})
	s.until(func() bool {
		return len(s.b.frontend.clients) == 0 && s.b.stats.Unanswered == 1 && len(s.b.requests) == 0
	})
}

// TestControlSilent: nobody at the control plane's address, from the start and later, changes nothing; once somebody is
// there again the next report comes.
func TestControlSilent(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	address := s.control.LocalAddr().String()
	_ = s.control.Close()
	sent := s.b.Counters().Reports
	s.until(func() bool { return s.b.stats.Reports >= sent+2 }) // at least one of them met the refusal of another
	c := s.client()
	s.served(c, 1)
	back, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = back.Close() }()
	_ = back.SetReadDeadline(time.Now().Add(longest))
	buf := make([]byte, 100)
	if n, _, err := back.ReadFrom(buf); err != nil || string(buf[:n]) != "lease n3 Ready" {
		t.Errorf("%q, %v", buf[:n], err)
	}
}

// TestHalfClose: a peer that closes its sending side with a req open has given it up: its run is stopped, and the connection
// ends with nothing left of either.
func TestHalfClose(t *testing.T) {
	t.Parallel()
	s := crossing(t, nil)
	c := s.client()
	s.begins(c, 1)
	_ = c.c.CloseWrite()
	s.want("processor: interrupt 0000000000000001")
	s.step([]string{"processor", "notes", "complete", "0000000000000001", "halted", "5", "-"})
	s.until(func() bool {
		return len(s.b.requests) == 0 && len(s.b.frontend.clients) == 0 && s.b.stats.Unanswered == 1
	})
	c.wants("end")
}

// TestUnprovedRepeat: what is remembered is given to nobody of whom the processor, silent at that moment, did not say that it
// knows the req; not on a known connection either.
func TestUnprovedRepeat(t *testing.T) {
	t.Parallel()
	s := crossing(t, map[string]string{"claim": "dedup"})
	keyed := map[string]string{"SCRIPT_NAME": "/invoke/file-claim", "HTTP_IDEMPOTENCY_KEY": "k"}
	c := s.client()
	c.sends(fastcgiRequest(1, keyed))
	s.want(`processor: begin 0000000000000001 file-claim ""`)
	s.ends(1)
	c.wants("1" + doneLine)
	c.sends(fastcgiRequest(2, keyed))
	c.wants("2" + doneLine)
	s.step([]string{"processor", "mute"})
	c.sends(fastcgiRequest(3, keyed))
	c.wants("3" + refusedLine)
	s.step([]string{"processor", "mute", "off"})
	c.sends(fastcgiRequest(4, keyed))
	c.wants("4" + doneLine)
}
