package peerproto

import (
	"context"
	"flag"
	"net"
	"syscall"
	"testing"
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/conn"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/mem"
)

var compareBatches = flag.Int("wires", 0, "number of batches to exchange over package conn and over gRPC, to compare their costs; 0 skips the test")

// claimsPerBatch is the number of claims in a batch of requests, and of replies in the batch that answers it.
const claimsPerBatch = 32

// claimRequests returns a batch of claim requests.
func claimRequests() *Batch {
	batch := &Batch{}
	for i := range claimsPerBatch {
		batch.Claims = append(batch.Claims, failover.Message{
			Kind:   failover.MsgAcquire,
			Key:    idempotency.Key{byte(i)},
			Ballot: failover.Ballot{Number: 8, Node: "n1", Incarnation: 3},
			Work:   &failover.Work{Handler: "file-claim", Body: make([]byte, 500), Left: 9, Cost: 4, Size: 24.5, Rank: 0.625},
		})
	}
	return batch
}

// claimReplies returns a batch with a reply to each claim of another batch.
func claimReplies(requests *Batch) *Batch {
	batch := &Batch{}
	for _, request := range requests.Claims {
		batch.Claims = append(batch.Claims, failover.Message{
			Kind:   failover.MsgAcquireReply,
			Key:    request.Key,
			Ballot: request.Ballot,
			Vote:   failover.VoteGranted,
		})
	}
	return batch
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runLoop runs an event loop until done is closed.
func runLoop(loop *conn.Loop, done chan struct{}) {
	for {
		select {
		case <-loop.Wake:
		case <-done:
			return
		}
		loop.Dispatch()
		loop.Flush(time.Now())
	}
}

// overConn exchanges batches over a connection of package conn, with an event loop at each end as in a node.
func overConn(t *testing.T, batches int) {
	t.Helper()
	client, server := conn.NewLoop(), conn.NewLoop()
	listener, err := server.Listen("127.0.0.1:0", 10, func(c *conn.Conn) {
		parser := NewParser(func(batch *Batch) error {
			c.Write(Append(nil, claimReplies(batch)))
			return nil
		})
		c.OnData = parser.Feed
		c.OnClosed = func(error) {}
	}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	remaining := batches
	finished := make(chan struct{})
	client.Dial(listener.Addr().String(), func(c *conn.Conn, err error) {
		if err != nil {
			t.Error(err)
			close(finished)
			return
		}
		c.OnClosed = func(error) {}
		parser := NewParser(func(*Batch) error {
			remaining--
			if remaining == 0 {
				close(finished)
				return nil
			}
			c.Write(Append(nil, claimRequests()))
			return nil
		})
		c.OnData = parser.Feed
		c.Write(Append(nil, claimRequests()))
	})
	done := make(chan struct{})
	go runLoop(client, done)
	go runLoop(server, done)
	<-finished
	close(done)
	_ = listener.Close()
}

// rawCodec is a gRPC codec that passes bytes through unchanged, so that both sides of the comparison use the same encoding.
type rawCodec struct{}

func (rawCodec) Name() string { return "proto" }

func (rawCodec) Marshal(v any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(v.([]byte))}, nil
}

func (rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*[]byte) = data.Materialize()
	return nil
}

// streamDescription describes a bidirectional stream.
var streamDescription = grpc.StreamDesc{StreamName: "batches", ClientStreams: true, ServerStreams: true, Handler: answerStream}

// answerStream answers each batch of a stream.
func answerStream(_ any, stream grpc.ServerStream) error {
	for {
		var b []byte
		if err := stream.RecvMsg(&b); err != nil {
			return nil
		}
		requests, err := Parse(b)
		if err != nil {
			return err
		}
		if err := stream.SendMsg(Append(nil, claimReplies(requests))[frameHeaderBytes:]); err != nil {
			return err
		}
	}
}

// overGRPC exchanges batches over a gRPC stream.
func overGRPC(t *testing.T, batches int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.ForceServerCodecV2(rawCodec{}))
	server.RegisterService(&grpc.ServiceDesc{ServiceName: "peer", HandlerType: (*any)(nil), Streams: []grpc.StreamDesc{streamDescription}}, nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	stream, err := client.NewStream(context.Background(), &streamDescription, "/peer/batches")
	if err != nil {
		t.Fatal(err)
	}
	for range batches {
		var b []byte
		if err := stream.SendMsg(Append(nil, claimRequests())[frameHeaderBytes:]); err != nil {
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

// cost is the elapsed time and the CPU time of a batch and its reply.
type cost struct {
	elapsed time.Duration
	cpu     time.Duration
}

// measure returns the mean cost of a batch and its reply.
func measure(t *testing.T, send func(*testing.T, int), batches int) cost {
	t.Helper()
	cpuBefore := cpuTime(t)
	start := time.Now()
	send(t, batches)
	return cost{
		elapsed: time.Since(start) / time.Duration(batches),
		cpu:     (cpuTime(t) - cpuBefore) / time.Duration(batches),
	}
}

// TestCompareGRPC compares the cost of a connection of package conn with that of a gRPC stream. Each exchanges one batch at a time.
func TestCompareGRPC(t *testing.T) {
	if *compareBatches == 0 {
		t.Skip("runs only with the flag -wires")
	}
	for range 3 {
		viaConn := measure(t, overConn, *compareBatches)
		viaGRPC := measure(t, overGRPC, *compareBatches)
		t.Logf("a batch of %d and its reply: conn %s, %s of CPU time; gRPC %s, %s of CPU time: %.2f and %.2f of conn", claimsPerBatch,
			viaConn.elapsed, viaConn.cpu, viaGRPC.elapsed, viaGRPC.cpu,
			float64(viaGRPC.elapsed)/float64(viaConn.elapsed), float64(viaGRPC.cpu)/float64(viaConn.cpu))
	}
}
