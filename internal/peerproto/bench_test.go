package peerproto

import (
	"context"
	"flag"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/conn"
	"net"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/mem"
)

var wires = flag.Int("wires", 0, "batches sent and answered over connections of the core and over gRPC, to compare what they cost")

const inBatch = 32 // claims that ask, and as many answers

func question() *Batch {
	b := &Batch{}
	for i := range inBatch {
		b.Claims = append(b.Claims, failover.Message{
			Kind: failover.MsgAcquire, Key: idempotency.Key{byte(i)}, Ballot: failover.Ballot{Number: 8, Node: "n1", Incarnation: 3},
			Work: &failover.Work{Handler: "file-claim", Body: make([]byte, 500), Left: 9, Cost: 4, Size: 24.5, Rank: 0.625},
		})
	}
	return b
}

func answer(q *Batch) *Batch {
	b := &Batch{}
	for _, m := range q.Claims {
		b.Claims = append(b.Claims, failover.Message{Kind: failover.MsgAcquireReply, Key: m.Key, Ballot: m.Ballot, Vote: failover.VoteGranted})
	}
	return b
}

// cores is the time that this process has taken on cores.
func cores(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// overConn has one owner at each end, as boxes have.
func overConn(t *testing.T, n int) {
	here, there := conn.NewLoop(), conn.NewLoop()
	run := func(b *conn.Loop, done chan struct{}) {
		for {
			select {
			case <-b.Wake:
			case <-done:
				return
			}
			b.Dispatch()
			b.Flush(time.Now())
		}
	}
	done := make(chan struct{})
	l, err := there.Listen("127.0.0.1:0", 10, func(c *conn.Conn) {
		p := NewParser(func(b *Batch) error { c.Write(Append(nil, answer(b))); return nil })
		c.OnData = p.Feed
		c.OnClosed = func(error) {}
	}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	left, over := n, make(chan struct{})
	here.Dial(l.Addr().String(), func(c *conn.Conn, err error) {
		if err != nil {
			t.Error(err)
			close(over)
			return
		}
		c.OnClosed = func(error) {}
		p := NewParser(func(*Batch) error {
			if left--; left == 0 {
				close(over)
				return nil
			}
			c.Write(Append(nil, question()))
			return nil
		})
		c.OnData = p.Feed
		c.Write(Append(nil, question()))
	})
	go run(here, done)
	go run(there, done)
	<-over
	close(done)
	_ = l.Close()
}

// frames is a codec that leaves the bytes as they are: the schema is the same in both.
type frames struct{}

func (frames) Name() string { return "proto" }
func (frames) Marshal(v any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(v.([]byte))}, nil
}

func (frames) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*[]byte) = data.Materialize()
	return nil
}

// overGRPC has a stream in both directions.
func overGRPC(t *testing.T, n int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.ForceServerCodecV2(frames{}))
	s.RegisterService(&grpc.ServiceDesc{ServiceName: "boxes", HandlerType: (*any)(nil), Streams: []grpc.StreamDesc{{
		StreamName: "batches", ClientStreams: true, ServerStreams: true, Handler: func(_ any, stream grpc.ServerStream) error {
			for {
				var b []byte
				if err := stream.RecvMsg(&b); err != nil {
					return nil
				}
				q, err := Parse(b)
				if err != nil {
					return err
				}
				if err := stream.SendMsg(Append(nil, answer(q))[4:]); err != nil {
					return err
				}
			}
		},
	}}}, nil)
	go func() { _ = s.Serve(ln) }()
	defer s.Stop()
	c, err := grpc.NewClient(ln.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(frames{})))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	stream, err := c.NewStream(context.Background(), &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/boxes/batches")
	if err != nil {
		t.Fatal(err)
	}
	for range n {
		var b []byte
		if err := stream.SendMsg(Append(nil, question())[4:]); err != nil {
			t.Fatal(err)
		}
		if err := stream.RecvMsg(&b); err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(b); err != nil {
			t.Fatal(err)
		}
	}
}

// TestWires compares, batch for batch and one at a time, the core's own connections with a stream of gRPC.
func TestWires(t *testing.T) {
	if *wires == 0 {
		t.Skip("asked for by -wires")
	}
	for range 3 {
		var took, busy [2]time.Duration
		for i, over := range []func(*testing.T, int){overConn, overGRPC} {
			at, began := cores(t), time.Now()
			over(t, *wires)
			took[i], busy[i] = time.Since(began)/time.Duration(*wires), (cores(t)-at)/time.Duration(*wires)
		}
		t.Logf("a batch of %d and its answer: own %s, %s of cores; gRPC %s, %s of cores: %.2f and %.2f of own", inBatch, took[0], busy[0], took[1], busy[1],
			float64(took[1])/float64(took[0]), float64(busy[1])/float64(busy[0]))
	}
}
