package harness

import (
	"context"
	"fmt"
	"frosthub/internal/fake"
	"math/rand/v2"
	"sync"
	"time"
)

// ClaimLoad is a load of reqs that must not run twice: each key is a body, sent under a new id with every try, unmarked, until it is
// served, and again after that.
type ClaimLoad struct {
	Handler       string
	Callers       int           // keys in hand at a time
	Keys          int           // a caller goes on until it has served so many, or the context is done; 0 only then
	Repeats       int           // of each that was served
	LateShare     float64       // share of the repeats that come long after, among other keys
	Pause         time.Duration // between tries
	Timeout       time.Duration // for an answer
	CostMS        float64
	Padding       int // bytes of a body beyond its key
	Customer      string
	SendCreatedAt bool                // each try says when its key was first made
	OnLatency     func(time.Duration) // hears how long each served try took; nil: nobody does

	mu      sync.Mutex
	history []HistoryEvent
	began   int64
	of      map[string]*ClaimRecord
	list    []string
	wrong   []string
}

// ClaimRecord is what its callers know of a key.
type ClaimRecord struct {
	First       string // the first answer that served it
	Served      int
	Failed      int // tries answered so before that
	Rejected    int
	CreatedAt   int64
	Interrupted int // tries whose connection ended, or that got no answer in time
}

// Run asks until the context is done; ask gives the asker for a try.
func (l *ClaimLoad) Run(ctx context.Context, seed uint64, ask func(n uint64) fake.Client) {
	l.mu.Lock()
	if l.of == nil {
		l.of, l.began = map[string]*ClaimRecord{}, time.Now().UnixNano()
	}
	l.mu.Unlock()
	var all sync.WaitGroup
	for i := range l.Callers {
		all.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil && (l.Keys == 0 || n < l.Keys); n++ {
				l.claim(ctx, r, fmt.Sprintf("claim %x-%d-%d%*s", seed, i, n, l.Padding, ""), ask)
			}
		})
	}
	all.Wait()
}

// claim sends one until it is served and repeated, or errored for good.
func (l *ClaimLoad) claim(ctx context.Context, r *rand.Rand, key string, ask func(n uint64) fake.Client) {
	l.mu.Lock()
	c := &ClaimRecord{CreatedAt: time.Now().UnixMilli()}
	l.of[key] = c
	l.list = append(l.list, key)
	l.mu.Unlock()
	for tries, repeats := 0, 0; ctx.Err() == nil && tries < 40 && repeats < l.Repeats+1; tries++ {
		at := key
		if c.Served > 0 && r.Float64() < l.LateShare {
			l.mu.Lock()
			at = l.list[r.IntN(len(l.list))]
			l.mu.Unlock()
		}
		status := l.try(r, at, ask)
		if status == 200 {
			repeats++
		}
		if status == 500 && at == key && c.Failed > 3 {
			return // it is in doubt: another try won't help
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.Pause):
		}
	}
}

func (l *ClaimLoad) try(r *rand.Rand, key string, ask func(n uint64) fake.Client) int {
	l.mu.Lock()
	c := l.of[key]
	known := c.First != ""
	l.mu.Unlock()
	n, began := r.Uint64(), time.Now()
	req := fake.Request{
		ID: n | 1, Handler: l.Handler, Caller: r.IntN(4), Start: time.Now().UnixMilli(), CostMS: l.CostMS, Body: key,
		Customer: l.Customer,
	}
	if l.SendCreatedAt {
		req.CreatedAt = c.CreatedAt
	}
	got, o := ask(n).RoundTrip(&req, l.Timeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	if served := o == fake.Served && got.Status == 200; served || o == fake.Failed || o == fake.Served && got.Status != 503 {
		l.history = append(l.history, HistoryEvent{Key: key, Served: served, Result: got.Body, Asked: began.UnixNano(), Heard: time.Now().UnixNano()})
	}
	switch {
	case o == fake.Rejected || o == fake.Served && got.Status == 503:
		c.Rejected++
		return 503
	case o != fake.Served && o != fake.Failed:
		c.Interrupted++
		return 0
	case o == fake.Served && got.Status == 200:
		if c.First == "" {
			c.First = got.Body
		}
		if c.First != got.Body {
			l.wrong = append(l.wrong, fmt.Sprintf("%s: answered %q first and %q later", key, c.First, got.Body))
		}
		c.Served++
		if l.OnLatency != nil {
			l.OnLatency(time.Since(began))
		}
		return 200
	}
	c.Failed++
	if known {
		l.wrong = append(l.wrong, fmt.Sprintf("%s: served, and errored later (%d)", key, got.Status))
	}
	return 500
}

// linear tells whether one run a key, at some time after it was first asked for, explains all answers.
func (l *ClaimLoad) linear() (string, bool) {
	events := append([]HistoryEvent(nil), l.history...)
	first, last := map[string]int64{}, map[string]int64{}
	result := map[string]string{}
	for _, e := range l.history {
		if at, ok := first[e.Key]; !ok || e.Asked < at {
			first[e.Key] = e.Asked
		}
		if e.Served && result[e.Key] == "" {
			result[e.Key] = e.Result
		}
		last[e.Key] = max(last[e.Key], e.Heard)
	}
	for key, at := range first { // its time is not known beyond that
		events = append(events, HistoryEvent{Key: key, Ran: true, Result: result[key], Asked: min(at, l.began), Heard: last[key]})
	}
	return Linearizable(events)
}

// ClaimTotals are what became of all.
type ClaimTotals struct{ Keys, Served, Answers, OutcomeUnknown, Rejected, Interrupted int }

// Verify holds what callers know against the effects that were counted, and says what is wrong.
func (l *ClaimLoad) Verify(effects map[string]int) (ClaimTotals, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wrong := append([]string(nil), l.wrong...)
	if bad, ok := l.linear(); !ok {
		wrong = append(wrong, "no order explains "+bad)
	}
	var s ClaimTotals
	for key, c := range l.of {
		s.Keys++
		s.Answers += c.Served
		s.Rejected += c.Rejected
		s.Interrupted += c.Interrupted
		switch n := effects[key]; {
		case n > 1:
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, n))
		case n == 0 && c.Served > 0:
			wrong = append(wrong, fmt.Sprintf("%s: served, and it never ran", key))
		}
		if c.Served > 0 {
			s.Served++
		} else if c.Failed > 0 {
			s.OutcomeUnknown++
		}
	}
	return s, wrong
}
