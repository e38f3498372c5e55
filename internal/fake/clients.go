package fake

import (
	"bufio"
	"context"
	"fmt"
	"frosthub/internal/ajp"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Client sends a req and waits for its answer. Many may ask at a time.
type Client interface {
	Send(r *Request, patient time.Duration) Outcome
	RoundTrip(r *Request, patient time.Duration) (Response, Outcome)
	Close()
}

// FastCGIClient asks over a few connections with 32 slots each.
type FastCGIClient struct {
	address string
	mu      sync.Mutex
	conns   []*slots
}

type slots struct {
	c    net.Conn
	open map[uint16]chan FastCGIResponse
	next uint16
	dead bool
}

// NewFastCGIClient asks at that address.
func NewFastCGIClient(address string) *FastCGIClient { return &FastCGIClient{address: address} }

// Send sends a req and says what became of it.
func (a *FastCGIClient) Send(r *Request, patient time.Duration) Outcome {
	got, outcome := a.RoundTrip(r, patient)
	if outcome != Served {
		return outcome
	}
	return outcomeOf(got.Status, got.Body, ProcessorResult(r.ID, r.Body))
}

// RoundTrip sends a req on a connection with a free slot and gives its whole answer: Served if there is one, whatever it says.
func (a *FastCGIClient) RoundTrip(r *Request, patient time.Duration) (Response, Outcome) {
	a.mu.Lock()
	var s *slots
	for _, k := range a.conns {
		if !k.dead && len(k.open) < 31 {
			s = k
		}
	}
	if s == nil {
		c, err := net.Dial("tcp", a.address)
		if err != nil {
			a.mu.Unlock()
			return Response{}, NotSent
		}
		s = &slots{c: c, open: map[uint16]chan FastCGIResponse{}}
		a.conns = append(a.conns, s)
		go a.read(s)
	}
	for s.next++; s.next == 0 || s.open[s.next] != nil; s.next++ {
	}
	slot, answer := s.next, make(chan FastCGIResponse, 1)
	s.open[slot] = answer
	_, err := io.WriteString(s.c, r.FastCGI(slot))
	a.mu.Unlock()
	if err != nil {
		return Response{}, NotSent
	}
	select {
	case got, ok := <-answer:
		switch {
		case !ok:
			return Response{}, Sent
		case got.NoBody && got.ProtocolStatus == 2:
			return Response{}, Rejected
		case got.NoBody:
			return Response{}, Failed
		}
		return ParseCGIResponse(got.Text), Served
	case <-time.After(patient):
		a.mu.Lock()
		_, _ = io.WriteString(s.c, FastCGIAbort(slot))
		a.mu.Unlock()
		return Response{}, Sent
	}
}

func (a *FastCGIClient) read(s *slots) {
	_ = ReadFastCGI(bufio.NewReader(s.c), func(got FastCGIResponse) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if answer := s.open[got.Slot]; answer != nil {
			delete(s.open, got.Slot)
			answer <- got
		}
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	s.dead = true
	for _, answer := range s.open {
		close(answer)
	}
	s.open = nil
}

// Close ends all connections.
func (a *FastCGIClient) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.conns {
		_ = s.c.Close()
	}
}

// AJPClient asks over as many connections as there are reqs at a time, and keeps them.
type AJPClient struct {
	Secret    string
	MaxPacket int // ajp.DefaultPacketSize if 0

	address string
	mu      sync.Mutex
	idle    []net.Conn
}

// NewAJPClient asks at that address.
func NewAJPClient(address string) *AJPClient { return &AJPClient{address: address} }

// Response is what a box said.
type Response struct {
	Status int
	Fields map[string]string
	Body   string
	Reuse  bool
}

// Send sends a req on an idle connection, or a new one.
func (a *AJPClient) Send(r *Request, patient time.Duration) Outcome {
	got, outcome := a.RoundTrip(r, patient)
	if outcome != Served {
		return outcome
	}
	return outcomeOf(got.Status, got.Body, ProcessorResult(r.ID, r.Body))
}

// RoundTrip sends a req and gives its whole answer: Served if there is one, whatever it says.
func (a *AJPClient) RoundTrip(r *Request, patient time.Duration) (Response, Outcome) {
	a.mu.Lock()
	var c net.Conn
	if len(a.idle) > 0 {
		c = a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
	}
	a.mu.Unlock()
	if c == nil {
		var err error
		if c, err = net.Dial("tcp", a.address); err != nil {
			return Response{}, NotSent
		}
	}
	most := a.MaxPacket
	if most == 0 {
		most = ajp.DefaultPacketSize
	}
	f := ajp.ForwardRequest{Path: "/invoke/" + r.Handler, Secret: a.Secret, Body: []byte(r.Body)}
	r.fields(func(name, value string) { f.Headers = append(f.Headers, ajp.Header{Name: name, Value: value}) })
	_ = c.SetDeadline(time.Now().Add(patient))
	p := ajp.NewClient(most)
	p.AwaitingResponse = true
	if _, err := c.Write(ajp.AppendForward(nil, &f, most)); err != nil {
		_ = c.Close()
		return Response{}, NotSent
	}
	var got Response
	done := false
	buf := make([]byte, 4<<10)
	for !done {
		n, err := c.Read(buf)
		if n > 0 {
			if p.Feed(buf[:n], func(x ajp.Reply) {
				if x.Kind == ajp.Response {
					done = true
					got = Response{Status: x.Status, Body: string(x.Body), Reuse: x.Reuse, Fields: map[string]string{}}
					x.Headers.Each(func(name, value []byte) { got.Fields[string(name)] = string(value) })
				}
			}) != nil {
				_ = c.Close()
				return Response{}, Wrong
			}
		}
		if err != nil && !done {
			_ = c.Close()
			return Response{}, Sent
		}
	}
	if !got.Reuse {
		_ = c.Close()
		return got, Served
	}
	a.mu.Lock()
	a.idle = append(a.idle, c)
	a.mu.Unlock()
	return got, Served
}

// Close ends the idle connections.
func (a *AJPClient) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.idle {
		_ = c.Close()
	}
	a.idle = nil
}

// OpenLoad is reqs that come by chance, whether others are answered or not.
type OpenLoad struct {
	Rate      float64 // a second
	Handlers  []string
	CostMS    float64
	Target    time.Duration // an answer later than this is worth nothing
	Timeout   time.Duration
	Body      string // the id if empty: each its own
	Value     map[string]float64
	OnLatency func(time.Duration) // hears how long each served req took; nil: nobody does
}

// Run asks until the context is done and waits for all answers. It gives the service figure: the value answered
// within the target over the value asked for. The same seed asks the same at the same times.
func (s OpenLoad) Run(ctx context.Context, seed uint64, tally *Tally, clientFor func(id uint64) Client) float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	var all sync.WaitGroup
	var mu sync.Mutex
	var asked, got float64
	start, at := time.Now(), time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second))
		req := Request{ID: r.Uint64() | 1, Handler: s.Handlers[r.IntN(len(s.Handlers))], Caller: r.IntN(4), CostMS: s.CostMS, Body: s.Body}
		select {
		case <-ctx.Done():
			all.Wait()
			return got / asked
		case <-time.After(time.Until(start.Add(at))):
		}
		if req.Body == "" {
			req.Body = fmt.Sprintf("%016x", req.ID)
		}
		value := s.Value[req.Handler]
		asked += value
		tally.Set(req.ID, Sent)
		all.Go(func() {
			began := time.Now()
			req.Start = began.UnixMilli()
			o := clientFor(req.ID).Send(&req, s.Timeout)
			tally.Set(req.ID, o)
			if took := time.Since(began); o == Served && took <= s.Target {
				mu.Lock()
				if s.OnLatency != nil {
					s.OnLatency(took)
				}
				got += value
				mu.Unlock()
			}
		})
	}
}

// RetryingClient asks boxes one after the other, under a new id each time, as edge nodes do whose list has several: a refusal, or a connection
// that is refused or ends, leads to the next. It is served by the first 200, whatever run that is of.
type RetryingClient struct {
	Nodes       []Client
	MaxAttempts int
	Pause       time.Duration
}

// Send sends a req until it is served or has been tried often enough, or the time is over.
func (a *RetryingClient) Send(r *Request, patient time.Duration) Outcome {
	_, o := a.RoundTrip(r, patient)
	return o
}

// RoundTrip does so and gives the last answer.
func (a *RetryingClient) RoundTrip(r *Request, patient time.Duration) (got Response, o Outcome) {
	till := time.Now().Add(patient)
	for try := range a.MaxAttempts {
		left := time.Until(till)
		if left <= 0 {
			break
		}
		x := *r
		x.ID += uint64(try) << 1
		got, o = a.Nodes[(int(r.ID>>33)+try)%len(a.Nodes)].RoundTrip(&x, left)
		switch {
		case o == Served && got.Status == 200:
			return got, Served
		case o == Served && got.Status == 503:
			o = Rejected
		case o == Served, o == Failed:
			return got, Failed
		}
		time.Sleep(a.Pause)
	}
	return got, o
}

// Close ends the connections of all.
func (a *RetryingClient) Close() {
	for _, b := range a.Nodes {
		b.Close()
	}
}
