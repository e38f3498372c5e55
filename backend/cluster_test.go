package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/peerproto"
	"frosthub/internal/wal"
	"frosthub/membership"
	"frosthub/recovery"
)

// syncBuffer is a buffer for a log that is read while it is written.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

// emptyPeer is a fake of node n1. It has recorded no state of other nodes, and answers queries accordingly.
type emptyPeer struct {
	listener        net.Listener
	queryingAddress string // address of the node whose queries it answers
}

func (p *emptyPeer) serve() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.read(accepted)
	}
}

func (p *emptyPeer) read(from net.Conn) {
	defer func() { _ = from.Close() }()
	parser := peerproto.NewParser(p.answer)
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || parser.Feed(buffer[:n]) != nil {
			return
		}
	}
}

// answer handles a batch of messages. It answers a query for recorded state on a connection of its own, as peers do.
func (p *emptyPeer) answer(batch *peerproto.Batch) error {
	if batch.Hello == nil || !batch.Hello.QueryState {
		return nil
	}
	dialed, err := net.Dial("tcp", p.queryingAddress)
	if err != nil {
		return err
	}
	_, err = dialed.Write(peerproto.Append(nil, &peerproto.Batch{
		Hello:     &peerproto.Hello{Cluster: "north", From: "n1", Incarnation: 1, RosterDigests: batch.Hello.RosterDigests},
		PeerState: &recovery.Answer{Mark: batch.Hello.Mark},
	}))
	return err
}

// startClusterNode starts n3 of the cluster north. Node n1 has recorded no state, and node n2 is down. It returns once
// n3 takes part in the cluster.
func startClusterNode(t *testing.T) *Backend {
	t.Helper()
	disk := fake.NewDisk()
	if err := wal.Init(disk, "n3", time.Duration(time.Now().UnixNano()), 1); err != nil {
		t.Fatal(err)
	}
	bed := &testbed{t: t, clients: map[string]*clientSocket{}, knownIDs: map[string]bool{}, options: map[string]string{}}
	bed.startFakes("")
	var address [2]string
	for i := range address {
		var err error
		if address[i], err = harness.FreeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	bed.listenAddress = address[0]
	cfg := bed.config()
	cfg.Idempotency = IdempotencyConfig{Dir: t.TempDir(), Handlers: map[string][]KeyPart{"file-claim": {KeyPartBody}}, Disk: disk}
	cfg.Cluster = ClusterConfig{Name: "north", Listen: address[1]}
	for _, name := range []string{"n1", "n2", "n3"} {
		cfg.Cluster.Members = append(cfg.Cluster.Members, ClusterMember{Member: failover.Member{Name: name}, Address: "127.0.0.1:1"})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	cfg.Cluster.Members[0].Address = listener.Addr().String()
	n1 := &emptyPeer{listener: listener, queryingAddress: address[1]}
	go n1.serve()
	var log syncBuffer
	b := New(cfg, slog.New(slog.NewTextHandler(&log, nil)))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- b.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, p := range bed.fakeServers {
			p.stop()
		}
	})
	deadline := time.Now().Add(5 * time.Second)
	for !log.contains(`msg="cluster member started"`) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return b
}

// claimsOfUnknownNodes returns a batch with ballots of nodes outside the cluster, and with a message of an unknown
// kind.
func claimsOfUnknownNodes() []byte {
	unknown := failover.Ballot{Number: 2, Node: "who", Incarnation: 9}
	return peerproto.Append(nil, &peerproto.Batch{
		Members: []membership.Message{{Kind: membership.Ping, Number: 1}},
		Claims: []failover.Message{
			{
				Kind:   failover.MsgAcquire,
				Key:    idempotency.Key{1},
				Ballot: failover.Ballot{Number: 1, Node: "n1", Incarnation: 1},
				Work:   &failover.Work{Left: int64(time.Minute)},
			},
			{
				Kind:    failover.MsgFinish,
				Key:     idempotency.Key{2},
				Ballot:  unknown,
				Outcome: idempotency.EntryResult,
				Result:  []byte("x"),
			},
			{Kind: failover.MsgHolderCheck, Key: idempotency.Key{1}, Ballot: unknown},
			{Kind: 99},
		},
	})
}

// TestForeignConnectionsAreClosed checks that a connection is closed if its sender is not a member of the cluster,
// sends no hello or sends invalid data, whatever its other messages are. It also checks that ballots of unknown nodes
// do no harm.
func TestForeignConnectionsAreClosed(t *testing.T) {
	b := startClusterNode(t)
	address := b.cfg.Cluster.Listen
	digests := []uint64{failover.MembersDigest(failoverMembers(b.cfg.Cluster.Members))}
	hello := func(cluster, from string) []byte {
		return peerproto.Append(nil, &peerproto.Batch{
			Hello: &peerproto.Hello{Cluster: cluster, From: from, Incarnation: 1, RosterDigests: digests},
		})
	}
	claims := claimsOfUnknownNodes()
	for _, test := range []struct {
		name   string
		sent   []byte
		closed bool
	}{
		{"a node of another cluster", append(hello("south", "n1"), claims...), true},
		{"a node that is no member", append(hello("north", "n9"), claims...), true},
		{"the node itself", append(hello("north", "n3"), claims...), true},
		{"no hello", claims, true},
		{"noise", []byte("GET / HTTP/1.1\r\n\r\n"), true},
		{"a long incomplete message", append([]byte{0, 1, 0, 0}, make([]byte, 8000)...), true},
		{"a member", append(hello("north", "n1"), claims...), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			dialed, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = dialed.Close() }()
			_, _ = dialed.Write(test.sent)
			_ = dialed.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, err = dialed.Read(make([]byte, 1))
			closed := errors.Is(err, io.EOF) || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
			if closed != test.closed {
				t.Errorf("closed %v, want %v: %v", closed, test.closed, err)
			}
		})
	}
	stats := b.ClusterStats()
	if stats == nil || stats.Members[0].State != "alive" || stats.Members[1].State != "unknown" || stats.Failover.Reservations != 1 {
		t.Errorf("stats after all connections: %+v", stats)
	}
}
