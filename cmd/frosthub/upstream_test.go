package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"frosthub/internal/fake"
)

var upstreamCalls = flag.Int("calls", 900, "number of calls with random faults; 10000 outside CI")

// upstreamFixture is a node whose upstream consists of fake AJP servers.
type upstreamFixture struct {
	*testNode
	servers []*fake.AJPServer
	client  *fake.FastCGIClient
}

// newUpstreamFixture starts a node with the given number of AJP servers. Each request makes one call.
func newUpstreamFixture(t *testing.T, servers int) *upstreamFixture {
	t.Helper()
	node := newTestNode(t, 8, constantWork(time.Millisecond), "")
	node.processor.MakesCall = func(uint64, string) bool { return true }
	upstream := &upstreamFixture{testNode: node}
	for range servers {
		server, err := fake.NewAJPServer(3 * time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		upstream.servers = append(upstream.servers, server)
	}
	upstream.process.StopMS = 1000
	upstream.process.OperatorFile = upstream.conf(upstream.servers)
	upstream.start()
	upstream.client = fake.NewFastCGIClient(upstream.process.Listen)
	t.Cleanup(func() {
		upstream.client.Close()
		upstream.kill()
		for _, server := range upstream.servers {
			server.Stop()
		}
	})
	return upstream
}

// conf returns an operator's file that lists the given servers.
func (u *upstreamFixture) conf(servers []*fake.AJPServer) string {
	var conf strings.Builder
	for i, server := range servers {
		fmt.Fprintf(&conf, "next-tier ajp %s route=w%d\n", server.Address(), i)
	}
	return conf.String()
}

// send sends n requests one after the other, with consecutive IDs, and returns the number of served ones. Like an edge node it retries rejected
// requests, which have not run.
func (u *upstreamFixture) send(from uint64, n int, handler string) (served int) {
	for i := range n {
		request := fake.Request{ID: from + uint64(i), Handler: handler, Start: time.Now().UnixMilli(), CostMS: 1, Body: "a policy"}
		outcome := u.client.Send(&request, 4*time.Second)
		for attempt := uint64(1); outcome == fake.Rejected && attempt < 20; attempt++ {
			time.Sleep(20 * time.Millisecond)
			request.ID, request.Start = from+uint64(i)+attempt<<32, time.Now().UnixMilli()
			outcome = u.client.Send(&request, 4*time.Second)
		}
		if outcome == fake.Served {
			served++
		}
	}
	return served
}

// callCounts returns the number of times that the call of each request has run, summed over all servers.
func (u *upstreamFixture) callCounts() map[uint64]int {
	counts := map[uint64]int{}
	for _, server := range u.servers {
		for id, n := range server.CallCounts() {
			counts[id] += n
		}
	}
	return counts
}

// TestUpstreamCalls injects faults into the upstream. The node must send calls to servers that work. It must retry a call at another server if the
// call has certainly not run, and otherwise only if the call may run twice.
func TestUpstreamCalls(t *testing.T) {
	for _, test := range []struct {
		name          string
		fault         fake.Fault
		claims, reads int // minimum number served of ten
	}{
		{"no fault", fake.NoFault, 10, 10},
		{"rejects", fake.Rejects, 10, 10},
		{"resets before", fake.ResetBefore, 7, 7}, // the node cannot tell whether the call has run
		{"resets after", fake.ResetAfter, 7, 7},
		{"truncated response", fake.TruncatedResponse, 7, 7},
		{"wrong length", fake.WrongLength, 7, 7},
		{"fails", fake.Fails, 3, 3}, // the call has run
		{"never responds", fake.NeverResponds, 5, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			upstream := newUpstreamFixture(t, 3)
			upstream.servers[1].SetFault(test.fault)
			claims := upstream.send(100, 10, "file-claim")
			reads := upstream.send(200, 10, "status")
			if claims < test.claims || reads < test.reads {
				t.Errorf("%d of ten claims and %d of ten reads are served; %s", claims, reads, upstream.process.Log())
			}
			for id, n := range upstream.callCounts() {
				if n > 1 && uint32(id) < 200 {
					t.Errorf("the call of claim %d ran %d times", id, n)
				}
			}
		})
	}
	t.Run("one stopped", upstreamServerStopped)
	t.Run("all stopped", upstreamStopped)
	t.Run("no pong", upstreamWithoutPong)
	t.Run("random faults", upstreamRandomFaults)
	t.Run("reload", upstreamReload)
}

// upstreamServerStopped stops one of three servers. The others must receive its calls, and the server must receive calls again after its restart.
func upstreamServerStopped(t *testing.T) {
	t.Parallel()
	upstream := newUpstreamFixture(t, 3)
	upstream.servers[0].Stop()
	if n := upstream.send(1, 20, "file-claim"); n != 20 {
		t.Error(n, "of 20 served with one server stopped: ", upstream.process.Log())
	}
	if upstream.servers[1].Received()+upstream.servers[2].Received() != 20 {
		t.Error("the running servers have not received each call exactly once")
	}
	if err := upstream.servers[0].Restart(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); upstream.servers[0].Received() < 20; {
		if time.Now().After(end) {
			t.Fatal("the restarted server receives no calls")
		}
		upstream.send(uint64(time.Now().UnixNano()), 5, "status")
	}
}

// upstreamStopped stops all servers. Requests must fail fast, and must be served again after the restart.
func upstreamStopped(t *testing.T) {
	t.Parallel()
	upstream := newUpstreamFixture(t, 2)
	upstream.servers[0].Stop()
	upstream.servers[1].Stop()
	start := time.Now()
	if n := upstream.send(1, 5, "file-claim"); n != 0 || time.Since(start) > 3*time.Second {
		t.Error(n, "requests served with all servers stopped, in ", time.Since(start))
	}
	for _, server := range upstream.servers {
		if err := server.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(10 * time.Second); upstream.send(uint64(time.Now().UnixNano()), 1, "file-claim") == 0; {
		if time.Now().After(end) {
			t.Fatal("no request is served after the restart of all servers")
		}
	}
}

// upstreamWithoutPong makes one of two servers ignore CPing. The node must send the calls to the other one.
func upstreamWithoutPong(t *testing.T) {
	t.Parallel()
	upstream := newUpstreamFixture(t, 2)
	upstream.send(1, 4, "file-claim")
	upstream.servers[0].SetFault(fake.NoPong)
	time.Sleep(1100 * time.Millisecond) // the node sends CPing on a connection that has been idle for over a second
	if n := upstream.send(10, 6, "file-claim"); n < 5 {
		t.Error(n, "of 6 served beside a server that does not answer CPing")
	}
	if upstream.servers[0].Pings() == 0 {
		t.Error("no CPing was sent")
	}
	for id, n := range upstream.callCounts() {
		if n > 1 {
			t.Errorf("the call of claim %d ran %d times", id, n)
		}
	}
}

// upstreamRandomFaults injects random faults into a tenth of the calls. No call of a claim may run twice.
func upstreamRandomFaults(t *testing.T) {
	t.Parallel()
	upstream := newUpstreamFixture(t, 4)
	for i, server := range upstream.servers {
		server.Fault = func(id uint64) fake.Fault { // a fault for a tenth of the calls, not the same calls at each server
			if hash := (id ^ id>>17) * 2654435761 >> uint(3*i); hash%10 == 0 {
				return []fake.Fault{fake.ResetBefore, fake.ResetAfter, fake.TruncatedResponse, fake.WrongLength, fake.Rejects}[hash/10%5]
			}
			return fake.NoFault
		}
	}
	rate := 300.0
	ctx, stop := context.WithTimeout(t.Context(), time.Duration(float64(*upstreamCalls)/rate*float64(time.Second)))
	defer stop()
	tally := fake.NewTally()
	fake.OpenLoad{
		Rate: rate, Handlers: []string{"file-claim", "status"}, CostMS: 1, Target: time.Second, Timeout: 4 * time.Second,
		Body: "x",
	}.Run(ctx, 9, tally, func(uint64) fake.Client { return upstream.client })
	calls := 0
	duplicates := 0
	handlers := upstream.processor.Handlers()
	for id, n := range upstream.callCounts() {
		if handlers[id] == "file-claim" && n > 1 {
			t.Errorf("the call of claim %d ran %d times", id, n)
		}
		calls++
		if n > 1 {
			duplicates++
		}
	}
	sent := len(tally.All())
	t.Logf("%d requests, %d served; %d calls ran, %d of them more than once", sent, tally.Count(fake.Served), calls, duplicates)
	if tally.Count(fake.Served) < sent*80/100 || tally.Count(fake.Wrong) > 0 {
		t.Error(upstream.process.Log())
	}
}

// upstreamReload removes and adds servers by reloads under load. At least 98% of the requests must be served.
func upstreamReload(t *testing.T) {
	t.Parallel()
	upstream := newUpstreamFixture(t, 3)
	ctx, stop := context.WithCancel(t.Context())
	tally := fake.NewTally()
	loadDone := make(chan struct{})
	go func() {
		fake.OpenLoad{
			Rate: 150, Handlers: []string{"file-claim"}, CostMS: 1, Target: time.Second, Timeout: 4 * time.Second,
			Body: "x",
		}.Run(ctx, 5, tally, func(uint64) fake.Client { return upstream.client })
		close(loadDone)
	}()
	for i := range 6 { // removes one server from the file and adds the previously removed one
		time.Sleep(200 * time.Millisecond)
		remaining := append(append([]*fake.AJPServer{}, upstream.servers[:i%3]...), upstream.servers[i%3+1:]...)
		if err := os.WriteFile(filepath.Join(upstream.process.Dir, "frosthub.conf"), []byte(upstream.conf(remaining)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := upstream.process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	<-loadDone
	outcomes := tally.All()
	if n := tally.Count(fake.Served); n < len(outcomes)*98/100 {
		t.Errorf("%d of %d requests are served over six reloads: %s", n, len(outcomes), upstream.process.Log())
	}
	for id, n := range upstream.callCounts() {
		if n > 1 {
			t.Errorf("the call of claim %d ran %d times", id, n)
		}
	}
}
