package conn

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// FuzzRing writes and drops stretches and compares with a plain slice.
func FuzzRing(f *testing.F) {
	f.Add([]byte{200, 100, 255, 255, 3, 250, 9, 90})
	f.Fuzz(func(t *testing.T, steps []byte) {
		var r Ring
		var want []byte
		for i, s := range steps {
			switch i % 3 {
			case 0:
				p := bytes.Repeat([]byte{s}, int(s)*40)
				r.Write(p)
				want = append(want, p...)
			case 1:
				space := r.Space(int(s))
				k := min(len(space), int(s))
				for j := range space[:k] {
					space[j] = s
				}
				r.Commit(k)
				want = append(want, bytes.Repeat([]byte{s}, k)...)
			case 2:
				p := r.Peek()
				if k := min(len(p), int(s)*30); k > 0 {
					if !bytes.Equal(p, want[:len(p)]) {
						t.Fatal("other bytes than were written")
					}
					r.Skip(k)
					want = want[k:]
				}
			}
			if r.Len() != len(want) {
				t.Fatalf("%d bytes, not %d", r.Len(), len(want))
			}
		}
	})
}

// owner runs an inbox for a while, as a backend does.
func owner(b *Loop, until func() bool) bool {
	retry := time.NewTimer(time.Hour)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		select {
		case <-b.Wake:
		case <-retry.C:
		case <-time.After(20 * time.Millisecond):
		}
		b.Dispatch()
		if again := b.Flush(time.Now()); again > 0 {
			retry.Reset(again)
		}
		if until() {
			return true
		}
	}
	return false
}

// serve listens, and echoes what it reads; conns is filled by the owner.
func serve(t *testing.T, b *Loop, most int, conns *[]*Conn, ends *[]error) (address string, turned chan struct{}) {
	turned = make(chan struct{}, 100)
	l, err := b.Listen("127.0.0.1:0", most, func(c *Conn) {
		*conns = append(*conns, c)
		c.OnData = func(p []byte) error {
			if bytes.Equal(p, []byte("bad")) {
				return io.ErrUnexpectedEOF
			}
			c.Write(p)
			return nil
		}
		c.OnClosed = func(err error) { *ends = append(*ends, err) }
	}, func(error) { turned <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), turned
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestDeafPeer: who stops reading holds up nobody, gets all if it reads again, and is closed beyond its bound.
func TestDeafPeer(t *testing.T) {
	b := NewLoop()
	var conns []*Conn
	var ends []error
	address, _ := serve(t, b, 100, &conns, &ends)
	deaf, other := dial(t, address), dial(t, address)
	if !owner(b, func() bool { return len(conns) == 2 }) {
		t.Fatal("not accepted")
	}
	if conns[0].nc.RemoteAddr().String() != deaf.LocalAddr().String() {
		conns[0], conns[1] = conns[1], conns[0]
	}
	const size = 16 << 20
	conns[0].MaxUnsent = size
	conns[0].Write(make([]byte, size))
	start := time.Now()
	if b.Flush(start) == 0 || conns[0].Unsent() == 0 {
		t.Fatal("the peer took all: nothing is shown")
	}
	if spent := time.Since(start); spent > time.Second {
		t.Error("the owner waited for the peer", spent)
	}
	_, _ = other.Write([]byte("hello"))
	heard := make(chan string, 1)
	go func() {
		got := make([]byte, 5)
		_, _ = io.ReadFull(other, got)
		heard <- string(got)
	}()
	if !owner(b, func() bool { return len(heard) == 1 }) || <-heard != "hello" {
		t.Error("the other peer is held up")
	}
	read := make(chan int64, 1)
	go func() { n, _ := io.CopyN(io.Discard, deaf, size); read <- n }()
	if !owner(b, func() bool { return conns[0].Unsent() == 0 }) || <-read != size {
		t.Error("a peer that reads again does not get all")
	}
	conns[0].MaxUnsent = 1 << 10
	conns[0].Write(make([]byte, size))
	if !owner(b, func() bool { return len(ends) == 1 }) || !errors.Is(ends[0], ErrUnsentLimit) {
		t.Error("a deaf peer is not closed beyond its bound", ends)
	}
}

// TestAllDeaf: what waits for all together has a bound too.
func TestAllDeaf(t *testing.T) {
	b := NewLoop()
	var conns []*Conn
	var ends []error
	address, _ := serve(t, b, 100, &conns, &ends)
	for range 3 {
		dial(t, address)
	}
	owner(b, func() bool { return len(conns) == 3 })
	b.MaxUnsent = 24 << 20
	for _, c := range conns {
		c.MaxUnsent = 32 << 20
		c.Write(make([]byte, 16<<20))
	}
	if !owner(b, func() bool { return len(ends) > 0 }) || len(ends) == 3 {
		t.Error("closed:", ends)
	}
}

// TestEnds: an error of Data closes, the far end's close is told, places are free again; without room a
// connection is closed at once.
func TestEnds(t *testing.T) {
	b := NewLoop()
	var conns []*Conn
	var ends []error
	address, turned := serve(t, b, 2, &conns, &ends)
	one, two := dial(t, address), dial(t, address)
	if !owner(b, func() bool { return len(conns) == 2 }) {
		t.Fatal("not accepted")
	}
	three := dial(t, address)
	if _, err := three.Read(make([]byte, 1)); err == nil || len(turned) != 1 {
		t.Error("a connection without room is kept")
	}
	_, _ = one.Write([]byte("bad"))
	if !owner(b, func() bool { return len(ends) == 1 }) || !errors.Is(ends[0], io.ErrUnexpectedEOF) {
		t.Error("ends:", ends)
	}
	_ = two.Close()
	if !owner(b, func() bool { return len(ends) == 2 }) || !errors.Is(ends[1], ErrPeerClosed) || b.Open.Load() != 0 {
		t.Error("ends:", ends, "open", b.Open.Load())
	}
	var met error
	b.Dial("127.0.0.1:1", func(_ *Conn, err error) { met = err })
	if !owner(b, func() bool { return met != nil }) {
		t.Error("a refused connection is not told")
	}
}

// TestGoneAtOnce: a peer that accepts and closes is told of, however early it does.
func TestGoneAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	b := NewLoop()
	closed := 0
	for range 50 {
		b.Dial(l.Addr().String(), func(c *Conn, err error) {
			if err != nil {
				closed++
				return
			}
			c.OnData = func([]byte) error { return nil }
			c.OnClosed = func(error) { closed++ }
		})
	}
	if !owner(b, func() bool { return closed == 50 }) || b.Open.Load() != 0 {
		t.Error("told of", closed, "open", b.Open.Load())
	}
}

// TestFlood: who sends more than is handled is closed, alone and where all together send too much; the sum is let go.
func TestFlood(t *testing.T) {
	for _, most := range []int64{1 << 40, 256 << 10} {
		b := NewLoop()
		b.MaxUnread = most
		var conns []*Conn
		var ends []error
		address, _ := serve(t, b, 100, &conns, &ends)
		small, large := dial(t, address), dial(t, address)
		_, _ = small.Write([]byte("hello"))
		sent, err := 0, error(nil)
		for err == nil && sent < 64<<20 { // the owner stands still
			var n int
			n, err = large.Write(make([]byte, 64<<10))
			sent += n
		}
		if err == nil {
			t.Error("all of it was taken in")
		}
		if !owner(b, func() bool { return len(ends) == 1 }) || !errors.Is(ends[0], ErrInputLimit) || b.in.Load() != 0 {
			t.Error("ends:", ends, "counted", b.in.Load())
		}
	}
}

// TestEndInOrder: what had come when the end was wished is handed over and may be answered, and the end waits while something is owed; what
// a peer sends after the sending side is closed does not take the last answer with it, and is not handed over; the descriptor is let go
// when the peer closes, and after a bound where it does not.
func TestEndInOrder(t *testing.T) {
	b := NewLoop()
	var conns []*Conn
	var ends []error
	address, _ := serve(t, b, 100, &conns, &ends)
	peer := dial(t, address)
	if !owner(b, func() bool { return len(conns) == 1 }) {
		t.Fatal("not accepted")
	}
	handed, owes := "", true
	conns[0].ResponsePending = func() bool { return owes }
	conns[0].OnData = func(p []byte) error {
		if conns[0].SendClosed() {
			t.Error("handed over after the end")
		}
		handed += string(p)
		conns[0].Write([]byte("answer"))
		return nil
	}
	size := len("answer")
	for conns[0].Unsent() == 0 { // as much as the system holds: the peer has not read it when the end comes
		conns[0].Write(make([]byte, 64<<10))
		size += 64 << 10
		b.Flush(time.Now())
	}
	const came = "read, and not handled when the end is wished"
	_, _ = peer.Write([]byte(came))
	for b.in.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	conns[0].CloseGracefully(errors.New("done"))
	got, late := make(chan int, 1), make(chan struct{})
	go func() {
		n, _ := io.CopyN(io.Discard, peer, int64(size)-32<<10)
		<-late
		rest, err := io.ReadAll(peer)
		if err != nil {
			t.Error("the answer is cut:", err)
		}
		got <- int(n) + len(rest)
	}()
	if !owner(b, func() bool { return handed == came && conns[0].Unsent() == 0 }) {
		t.Fatalf("%q is handed over, %d bytes wait", handed, conns[0].Unsent())
	}
	if b.Flush(time.Now()); b.Lingering() != 0 {
		t.Fatal("the sending side is closed, and something is owed")
	}
	owes = false
	if !owner(b, func() bool { return b.Lingering() == 1 }) {
		t.Fatal("the sending side is not closed")
	}
	conns[0].Write([]byte("not sent"))
	_, _ = peer.Write(make([]byte, 1000)) // over it the system would reset the connection, had it been closed
	close(late)
	if n := <-got; n != size {
		t.Error(n, "bytes of", size)
	}
	_ = peer.Close()
	if !owner(b, func() bool { return len(ends) == 1 }) || b.Open.Load() != 0 || ends[0].Error() != "done" {
		t.Error("ends:", ends, "open", b.Open.Load())
	}
	deaf := dial(t, address)
	_ = owner(b, func() bool { return len(conns) == 2 })
	conns[1].CloseGracefully(ErrClosedLocally)
	if !owner(b, func() bool { return len(ends) == 2 }) || b.Lingering() != 0 {
		t.Error("a peer that never closes is waited for")
	}
	_ = deaf.Close()
}

// TestListenerEnds: what the system had accepted when the listening ends is taken, then nothing more.
func TestListenerEnds(t *testing.T) {
	b := NewLoop()
	l, err := b.Listen("127.0.0.1:0", 100, func(*Conn) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	l.mu.Lock() // the poller waits: connections stay in the system's queue
	var peers []net.Conn
	for range 3 {
		peers = append(peers, dial(t, l.Addr().String()))
	}
	for !l.waits() {
		time.Sleep(time.Millisecond)
	}
	l.ending = true // as Close does
	l.mu.Unlock()
	if !owner(b, l.Closed) || b.Open.Load() != 3 {
		t.Error("closed:", l.Closed(), "taken:", b.Open.Load())
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("it still listens")
	}
	for _, p := range peers {
		_ = p.Close()
	}
	one, _ := b.Listen("127.0.0.1:0", 100, func(*Conn) {}, func(error) {})
	_ = one.Close()
	if !one.Closed() {
		t.Error("an empty queue is waited for")
	}
}

// TestStartWithoutDescriptors: a process that finds no descriptor when it starts waits for some, and serves.
func TestStartWithoutDescriptors(t *testing.T) {
	const childName = "CONN_TEST_CHILD"
	if os.Getenv(childName) == "" {
		child := exec.Command(os.Args[0], "-test.run", "^TestStartWithoutDescriptors$")
		child.Env = append(os.Environ(), childName+"=1")
		if out, err := child.CombinedOutput(); err != nil {
			t.Fatal(err, string(out))
		}
		return
	}
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err != nil || l.Close() != nil { // the runtime has a poller of its own
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 0, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	if startPollers() {
		t.Error("there was a descriptor: nothing is shown")
	}
	again := make(chan error, 1)
	go func() {
		time.Sleep(5 * pollersAgain)
		again <- syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)
	}()
	Prepare(slog.New(slog.DiscardHandler))
	if err := <-again; err != nil {
		t.Fatal(err)
	}
	b := NewLoop()
	var conns []*Conn
	var ends []error
	address, _ := serve(t, b, 10, &conns, &ends)
	peer := dial(t, address)
	_, _ = peer.Write([]byte("hello"))
	heard := make(chan struct{})
	go func() { _, _ = io.ReadFull(peer, make([]byte, 5)); close(heard) }()
	if !owner(b, func() bool {
		select {
		case <-heard:
			return true
		default:
			return false
		}
	}) {
		t.Error("it does not serve")
	}
}

// TestNothingHeldBack: the system sends small writes at once, on connections of either side: what it held back would go with
// a reset.
func TestNothingHeldBack(t *testing.T) {
	b := NewLoop()
	var conns []*Conn
	var ends []error
	address, _ := serve(t, b, 100, &conns, &ends)
	b.Dial(address, func(c *Conn, err error) {
		if err == nil {
			c.OnClosed = func(error) {}
			conns = append(conns, c)
		}
	})
	if !owner(b, func() bool { return len(conns) == 2 }) {
		t.Fatal("not connected")
	}
	for _, c := range conns {
		if on, err := syscall.GetsockoptInt(c.fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
			t.Error("held back", on, err)
		}
	}
}
