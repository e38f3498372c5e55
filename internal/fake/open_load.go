package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// OpenLoad generates open-loop load: requests arrive at random times with a given mean rate, independently of responses to earlier ones.
type OpenLoad struct {
	Rate          float64 // mean arrivals per second
	Handlers      []string
	CostMS        float64
	Target        time.Duration // latency objective: a later response has no value
	Timeout       time.Duration
	Body          string              // body of all requests; if empty, each request's body is its ID
	HandlerValues map[string]float64  // value of a served request, by handler
	OnLatency     func(time.Duration) // called with the latency of each request served within Target, one call at a time; may be nil
}

// Run sends requests until the context is done, waits for all responses, and returns the service level: the value of the requests that
// were served within Target as a share of the value of all requests. clientFor returns the client for a request ID. Equal seeds produce
// the same requests and arrival times.
func (l OpenLoad) Run(ctx context.Context, seed uint64, tally *Tally, clientFor func(id uint64) Client) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests sync.WaitGroup
	var mu sync.Mutex
	var requested, served float64
	start := time.Now()
	arrival := time.Duration(0)
	for {
		arrival += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		request := l.draw(random)
		select {
		case <-ctx.Done():
			requests.Wait()
			return served / requested
		case <-time.After(time.Until(start.Add(arrival))):
		}
		value := l.HandlerValues[request.Handler]
		requested += value
		tally.Set(request.ID, Sent)
		requests.Go(func() {
			sentAt := time.Now()
			request.Start = sentAt.UnixMilli()
			outcome := clientFor(request.ID).Send(&request, l.Timeout)
			tally.Set(request.ID, outcome)
			latency := time.Since(sentAt)
			if outcome != Served || latency > l.Target {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if l.OnLatency != nil {
				l.OnLatency(latency)
			}
			served += value
		})
	}
}

// draw returns a random request.
func (l OpenLoad) draw(random *rand.Rand) Request {
	request := Request{
		ID:      random.Uint64() | 1,
		Handler: l.Handlers[random.IntN(len(l.Handlers))],
		Caller:  random.IntN(4),
		CostMS:  l.CostMS,
		Body:    l.Body,
	}
	if request.Body == "" {
		request.Body = fmt.Sprintf("%016x", request.ID)
	}
	return request
}
