package main

import (
	"context"
	"flag"
	"fmt"
	"frosthub/internal/fake"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var upstreamCalls = flag.Int("calls", 900, "calls with faults by chance; 10000 outside CI")

// upstreamRig is a box with a next tier of AJP servers.
type upstreamRig struct {
	*testNode
	servers   []*fake.AJPServer
	client    *fake.FastCGIClient
	extraConf string // of the operator's file beside the peers
}

func newUpstreamRig(t *testing.T, servers int, extraConf string) *upstreamRig {
	t.Helper()
	node := newTestNode(t, 8, constantWork(time.Millisecond), "")
	node.processor.MakesCall = func(uint64, string) bool { return true }
	upstream := &upstreamRig{testNode: node, extraConf: extraConf}
	for range servers {
		server, err := fake.NewAJPServer(3 * time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		upstream.servers = append(upstream.servers, server)
	}
	upstream.process.StopMS, upstream.process.Conf = 1000, upstream.conf(upstream.servers)
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

func (u *upstreamRig) conf(servers []*fake.AJPServer) string {
	var conf strings.Builder
	for i, server := range servers {
		fmt.Fprintf(&conf, "next-tier ajp %s route=w%d\n", server.Address(), i)
	}
	return conf.String() + u.extraConf
}

// send sends so many reqs one after the other. One that is refused never ran: it is asked again, as edge nodes do.
func (u *upstreamRig) send(from uint64, n int, handler string) (served int) {
	for i := range n {
		request := fake.Request{ID: from + uint64(i), Handler: handler, Start: time.Now().UnixMilli(), CostMS: 1, Body: "a policy"}
		outcome := u.client.Send(&request, 4*time.Second)
		for try := uint64(1); outcome == fake.Rejected && try < 20; try++ {
			time.Sleep(20 * time.Millisecond)
			request.ID, request.Start = from+uint64(i)+try<<32, time.Now().UnixMilli()
			outcome = u.client.Send(&request, 4*time.Second)
		}
		if outcome == fake.Served {
			served++
		}
	}
	return served
}

func (u *upstreamRig) callCounts() map[uint64]int {
	counts := map[uint64]int{}
	for _, server := range u.servers {
		for id, n := range server.CallCounts() {
			counts[id] += n
		}
	}
	return counts
}

// TestCallsOverAJP: calls go to the peer that works; what is proved never to have run goes elsewhere, what may have run is
// made again only where it may run again.
func TestUpstreamCalls(t *testing.T) {
	for _, test := range []struct {
		name          string
		fault         fake.Fault
		claims, reads int // of ten, served at least
	}{
		{"sound", fake.NoFault, 10, 10},
		{"turns away", fake.Rejects, 10, 10},
		{"resets before", fake.ResetBefore, 7, 7}, // the box can't know that it did not run
		{"resets after", fake.ResetAfter, 7, 7},
		{"half an answer", fake.TruncatedResponse, 7, 7},
		{"wrong length", fake.WrongLength, 7, 7},
		{"fails", fake.Fails, 3, 3}, // it works, it says
		{"never says", fake.NeverResponds, 5, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			upstream := newUpstreamRig(t, 3, "")
			upstream.servers[1].SetFault(test.fault)
			claims := upstream.send(100, 10, "file-claim")
			reads := upstream.send(200, 10, "status")
			if claims < test.claims || reads < test.reads {
				t.Errorf("%d claims and %d reads of ten are served; %s", claims, reads, upstream.process.Log())
			}
			for id, n := range upstream.callCounts() {
				if n > 1 && uint32(id) < 200 {
					t.Errorf("the call of claim %d ran %d times", id, n)
				}
			}
		})
	}
	t.Run("away", func(t *testing.T) {
		t.Parallel()
		upstream := newUpstreamRig(t, 3, "")
		upstream.servers[0].Stop()
		if n := upstream.send(1, 20, "file-claim"); n != 20 {
			t.Error(n, "of 20 with one peer away: ", upstream.process.Log())
		}
		if upstream.servers[1].Received()+upstream.servers[2].Received() != 20 {
			t.Error("calls that are not where they must be")
		}
		if err := upstream.servers[0].Restart(); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(10 * time.Second); upstream.servers[0].Received() < 20; {
			if time.Now().After(end) {
				t.Fatal("it is back and gets nothing")
			}
			upstream.send(uint64(time.Now().UnixNano()), 5, "status")
		}
	})
	t.Run("all away", func(t *testing.T) {
		t.Parallel()
		upstream := newUpstreamRig(t, 2, "")
		upstream.servers[0].Stop()
		upstream.servers[1].Stop()
		start := time.Now()
		if n := upstream.send(1, 5, "file-claim"); n != 0 || time.Since(start) > 3*time.Second {
			t.Error(n, "served by nobody, in ", time.Since(start))
		}
		for _, server := range upstream.servers {
			if err := server.Restart(); err != nil {
				t.Fatal(err)
			}
		}
		for end := time.Now().Add(10 * time.Second); upstream.send(uint64(time.Now().UnixNano()), 1, "file-claim") == 0; {
			if time.Now().After(end) {
				t.Fatal("all are back and nothing is served")
			}
		}
	})
	t.Run("no pong", func(t *testing.T) {
		t.Parallel()
		upstream := newUpstreamRig(t, 2, "")
		upstream.send(1, 4, "file-claim")
		upstream.servers[0].SetFault(fake.NoPong)
		time.Sleep(1100 * time.Millisecond) // connections idle for over a second are asked first
		if n := upstream.send(10, 6, "file-claim"); n < 5 {
			t.Error(n, "of 6 beside a peer that does not answer CPing")
		}
		if upstream.servers[0].Pings() == 0 {
			t.Error("nobody asked")
		}
		for id, n := range upstream.callCounts() {
			if n > 1 {
				t.Errorf("the call of claim %d ran %d times", id, n)
			}
		}
	})
	t.Run("faults by chance", func(t *testing.T) {
		t.Parallel()
		upstream := newUpstreamRig(t, 4, "")
		for i, server := range upstream.servers {
			server.Fault = func(id uint64) fake.Fault { // another at each peer, a tenth of the calls
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
		once, duplicates := 0, 0
		claims := upstream.processor.Handlers()
		for id, n := range upstream.callCounts() {
			if claims[id] == "file-claim" && n > 1 {
				t.Errorf("the call of claim %d ran %d times", id, n)
			}
			if once++; n > 1 {
				duplicates++
			}
		}
		asked := len(tally.All())
		t.Logf("%d reqs, %d served; %d calls ran, %d of reads twice", asked, tally.Count(fake.Served), once, duplicates)
		if tally.Count(fake.Served) < asked*80/100 || tally.Count(fake.Wrong) > 0 {
			t.Error(upstream.process.Log())
		}
	})
	t.Run("reload", func(t *testing.T) {
		t.Parallel()
		upstream := newUpstreamRig(t, 3, "")
		ctx, stop := context.WithCancel(t.Context())
		tally := fake.NewTally()
		loaded := make(chan struct{})
		go func() {
			fake.OpenLoad{
				Rate: 150, Handlers: []string{"file-claim"}, CostMS: 1, Target: time.Second, Timeout: 4 * time.Second,
				Body: "x",
			}.Run(ctx, 5, tally, func(uint64) fake.Client { return upstream.client })
			close(loaded)
		}()
		for i := range 6 { // one peer leaves the file, another returns
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
		<-loaded
		outcomes := tally.All()
		if n := tally.Count(fake.Served); n < len(outcomes)*98/100 {
			t.Errorf("%d of %d are served over six reloads: %s", n, len(outcomes), upstream.process.Log())
		}
		for id, n := range upstream.callCounts() {
			if n > 1 {
				t.Errorf("the call of claim %d ran %d times", id, n)
			}
		}
	})
}
