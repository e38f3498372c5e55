package backend

import (
	"bytes"
	"context"
	"errors"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/peerproto"
	"frosthub/internal/wal"
	"frosthub/membership"
	"frosthub/recovery"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// written is a log that is read while it is written.
type written struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (w *written) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *written) has(text string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(w.b.String(), text)
}

// remembersNothing answers as n1 whoever asks there what it remembers.
func remembersNothing(ln net.Listener, to string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			p := peerproto.NewParser(func(b *peerproto.Batch) error {
				if b.Hello == nil || !b.Hello.QueryState {
					return nil
				}
				d, err := net.Dial("tcp", to)
				if err != nil {
					return err
				}
				_, err = d.Write(peerproto.Append(nil, &peerproto.Batch{
					Hello:     &peerproto.Hello{Cluster: "north", From: "n1", Incarnation: 1, Lists: b.Hello.Lists},
					PeerState: &recovery.Answer{Mark: b.Hello.Mark},
				}))
				return err
			})
			buf := make([]byte, 4<<10)
			for {
				n, err := c.Read(buf)
				if err != nil || p.Feed(buf[:n]) != nil {
					return
				}
			}
		}()
	}
}

// TestStrangers: who is not of the cluster, does not say who it is, or sends noise is closed, whatever it asks for; ballots of boxes that
// nobody knows do no harm.
func TestStrangers(t *testing.T) {
	disk := fake.NewDisk()
	if err := wal.Init(disk, "n3", time.Duration(time.Now().UnixNano()), 1); err != nil {
		t.Fatal(err)
	}
	s := &stage{t: t, edges: map[string]*edgeNode{}, known: map[string]bool{}, options: map[string]string{}}
	s.newPeers("")
	var address [2]string
	for i := range address {
		var err error
		if address[i], err = harness.FreeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	s.listen = address[0]
	cfg := s.config()
	cfg.Idempotency = IdempotencyConfig{Dir: t.TempDir(), Handlers: map[string][]KeyPart{"file-claim": {KeyPartBody}}, Disk: disk}
	cfg.Cluster = ClusterConfig{Name: "north", Listen: address[1]}
	for _, name := range []string{"n1", "n2", "n3"} {
		cfg.Cluster.Members = append(cfg.Cluster.Members, ClusterMember{Member: failover.Member{Name: name}, Address: "127.0.0.1:1"})
	}
	other, err := net.Listen("tcp", "127.0.0.1:0") // n1, which tells what it remembers: nothing
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	cfg.Cluster.Members[0].Address = other.Addr().String()
	go remembersNothing(other, address[1])
	var log written
	b := New(cfg, slog.New(slog.NewTextHandler(&log, nil)))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- b.Serve(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, p := range s.peers {
			p.shut()
		}
	}()
	for end := time.Now().Add(5 * time.Second); !log.has("msg=cluster") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	hello := func(cluster, from string, life uint64) []byte {
		return peerproto.Append(nil, &peerproto.Batch{Hello: &peerproto.Hello{
			Cluster: cluster, From: from, Incarnation: life,
			Lists: []uint64{failover.Digest(failoverMembers(cfg.Cluster.Members))},
		}})
	}
	claim := peerproto.Append(nil, &peerproto.Batch{Members: []membership.Message{{Kind: membership.Ping, Number: 1}}, Claims: []failover.Message{
		{Kind: failover.MsgAcquire, Key: idempotency.Key{1}, Ballot: failover.Ballot{Number: 1, Node: "n1", Incarnation: 1}, Work: &failover.Work{Left: int64(time.Minute)}},
		{Kind: failover.MsgFinish, Key: idempotency.Key{2}, Ballot: failover.Ballot{Number: 2, Node: "who", Incarnation: 9}, Outcome: idempotency.EntryResult, Result: []byte("x")},
		{Kind: failover.MsgHolderCheck, Key: idempotency.Key{1}, Ballot: failover.Ballot{Number: 2, Node: "who", Incarnation: 9}},
		{Kind: 99},
	}})
	for _, c := range []struct {
		name   string
		text   []byte
		closed bool
	}{
		{"another cluster's", append(hello("south", "n1", 1), claim...), true},
		{"not on the list", append(hello("north", "n9", 1), claim...), true},
		{"itself", append(hello("north", "n3", 1), claim...), true},
		{"nameless", claim, true},
		{"noise", []byte("GET / HTTP/1.1\r\n\r\n"), true},
		{"a long part of nothing", append([]byte{0, 1, 0, 0}, make([]byte, 8000)...), true},
		{"a box", append(hello("north", "n1", 1), claim...), false},
	} {
		n, err := net.Dial("tcp", address[1])
		if err != nil {
			t.Fatal(err)
		}
		_, _ = n.Write(c.text)
		_ = n.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err = n.Read(make([]byte, 1))
		if closed := errors.Is(err, io.EOF) || err != nil && !errors.Is(err, os.ErrDeadlineExceeded); closed != c.closed {
			t.Errorf("%s: closed %v: %v", c.name, closed, err)
		}
		_ = n.Close()
	}
	got := b.ClusterStats()
	if got == nil || got.Members[0].State != "alive" || got.Members[1].State != "unknown" || got.Failover.Notes != 1 {
		t.Errorf("%+v", got)
	}
}
