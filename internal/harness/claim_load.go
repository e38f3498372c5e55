package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"frosthub/internal/fake"
)

const (
	// maxAttempts is the number of attempts after which a caller stops sending a key.
	maxAttempts = 40
	// maxFailures is the number of failures after which a caller stops sending a key: its outcome is unknown, and retries cannot change
	// that.
	maxFailures = 3
)

// ClaimLoad generates requests that must not run twice. A key is a request body. Callers send it under a new request ID in each attempt
// until it is served, and repeat it afterwards. The exported fields must not change while Run runs.
type ClaimLoad struct {
	Handler       string
	Callers       int           // number of concurrent callers, each with one key in flight
	Keys          int           // keys of each caller; 0: until the context is done
	Repeats       int           // repeats of each key after it was served
	LateShare     float64       // share of the repeats that send a random earlier key
	Pause         time.Duration // between attempts
	Timeout       time.Duration // of an attempt
	RetryHorizon  time.Duration // retry horizon of the nodes: no attempt may arrive later than this after its key was created; 0: no limit
	CostMS        float64
	Padding       int // bytes added to each body
	Customer      string
	SendCreatedAt bool                // send the creation time of the key with each attempt
	OnLatency     func(time.Duration) // called with the latency of each served attempt, one call at a time; may be nil

	mu         sync.Mutex
	history    []HistoryEvent
	firstRunAt int64                   // start of the first Run, in Unix nanoseconds
	records    map[string]*ClaimRecord // by key
	keys       []string                // in order of creation
	violations []string
}

// ClaimRecord holds the results of all attempts of a key, as its callers received them.
type ClaimRecord struct {
	FirstResult string // result of the first attempt that was served
	Served      int    // attempts served
	Failed      int    // attempts with an error response
	Rejected    int    // attempts rejected
	CreatedAt   int64  // in Unix milliseconds
	Interrupted int    // attempts that timed out or whose connection ended
}

// Run sends requests until the context is done or each caller has sent its keys. clientFor selects the client of an attempt by a random
// number.
func (l *ClaimLoad) Run(ctx context.Context, seed uint64, clientFor func(random uint64) fake.Client) {
	l.mu.Lock()
	if l.records == nil {
		l.records = map[string]*ClaimRecord{}
		l.firstRunAt = time.Now().UnixNano()
	}
	l.mu.Unlock()
	var callers sync.WaitGroup
	for i := range l.Callers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil && (l.Keys == 0 || n < l.Keys); n++ {
				key := fmt.Sprintf("claim %x-%d-%d%*s", seed, i, n, l.Padding, "")
				l.sendKey(ctx, random, key, clientFor)
			}
		})
	}
	callers.Wait()
}

// sendKey sends a key until it is served and repeated, or until the limits on attempts, failures or time end the retries.
func (l *ClaimLoad) sendKey(ctx context.Context, random *rand.Rand, key string, clientFor func(uint64) fake.Client) {
	createdAt := time.Now()
	record := &ClaimRecord{CreatedAt: createdAt.UnixMilli()}
	l.mu.Lock()
	l.records[key] = record
	l.keys = append(l.keys, key)
	l.mu.Unlock()
	served := 0
	for attempt := 0; ctx.Err() == nil && attempt < maxAttempts && served < l.Repeats+1 && l.mayRetry(createdAt); attempt++ {
		target := key
		if record.Served > 0 && random.Float64() < l.LateShare {
			target = l.randomKey(random)
		}
		switch l.attempt(random, target, clientFor) {
		case http.StatusOK:
			served++
		case http.StatusInternalServerError:
			if target == key && record.Failed > maxFailures {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.Pause):
		}
	}
}

// mayRetry reports whether an attempt that is sent now arrives within the retry horizon, even if it takes the full timeout. Nodes drop
// older keys as configured, so later retries would violate the contract between client and node.
func (l *ClaimLoad) mayRetry(createdAt time.Time) bool {
	return l.RetryHorizon == 0 || time.Since(createdAt)+l.Timeout <= l.RetryHorizon
}

func (l *ClaimLoad) randomKey(random *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[random.IntN(len(l.keys))]
}

// attempt sends a key once and returns the status that corresponds to its result: 200 if it is served, 503 if it is rejected, 0 if there
// is no response, 500 otherwise.
func (l *ClaimLoad) attempt(random *rand.Rand, key string, clientFor func(uint64) fake.Client) int {
	l.mu.Lock()
	record := l.records[key]
	servedBefore := record.FirstResult != ""
	l.mu.Unlock()
	number := random.Uint64()
	sentAt := time.Now()
	request := fake.Request{
		ID:       number | 1,
		Handler:  l.Handler,
		Caller:   random.IntN(4),
		Start:    time.Now().UnixMilli(),
		CostMS:   l.CostMS,
		Body:     key,
		Customer: l.Customer,
	}
	if l.SendCreatedAt {
		request.CreatedAt = record.CreatedAt
	}
	response, outcome := clientFor(number).RoundTrip(&request, l.Timeout)
	status := statusOf(response, outcome)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch status {
	case http.StatusServiceUnavailable:
		record.Rejected++
		return status
	case 0:
		record.Interrupted++
		return status
	}
	l.history = append(l.history, HistoryEvent{
		Key:        key,
		Served:     status == http.StatusOK,
		Result:     response.Body,
		InvokedAt:  sentAt.UnixNano(),
		ReturnedAt: time.Now().UnixNano(),
	})
	if status == http.StatusOK {
		l.recordServed(record, key, response.Body, sentAt)
		return status
	}
	record.Failed++
	if servedBefore {
		l.violations = append(l.violations, fmt.Sprintf("%s: failed with status %d after it was served", key, response.Status))
	}
	return status
}

// statusOf maps the result of a round trip to the status that attempt returns.
func statusOf(response fake.Response, outcome fake.Outcome) int {
	switch {
	case outcome == fake.Rejected:
		return http.StatusServiceUnavailable
	case outcome == fake.Failed:
		return http.StatusInternalServerError
	case outcome != fake.Served:
		return 0
	case response.Status == http.StatusOK || response.Status == http.StatusServiceUnavailable:
		return response.Status
	}
	return http.StatusInternalServerError
}

// recordServed records the result of a served attempt. A result that differs from the key's first result is a violation. The caller
// holds the mutex.
func (l *ClaimLoad) recordServed(record *ClaimRecord, key, result string, sentAt time.Time) {
	if record.FirstResult == "" {
		record.FirstResult = result
	}
	if record.FirstResult != result {
		l.violations = append(l.violations, fmt.Sprintf("%s: first result %q, later result %q", key, record.FirstResult, result))
	}
	record.Served++
	if l.OnLatency != nil {
		l.OnLatency(time.Since(sentAt))
	}
}

// linearizable reports whether a single run of each key, at some time after its first attempt, explains all responses. If not, it
// describes the history of one key that violates this.
func (l *ClaimLoad) linearizable() (violation string, ok bool) {
	events := append([]HistoryEvent(nil), l.history...)
	firstSentAt := map[string]int64{}
	lastReceivedAt := map[string]int64{}
	results := map[string]string{}
	for _, event := range l.history {
		if at, ok := firstSentAt[event.Key]; !ok || event.InvokedAt < at {
			firstSentAt[event.Key] = event.InvokedAt
		}
		if event.Served && results[event.Key] == "" {
			results[event.Key] = event.Result
		}
		lastReceivedAt[event.Key] = max(lastReceivedAt[event.Key], event.ReturnedAt)
	}
	for key, at := range firstSentAt { // the callers cannot observe the time of the run more precisely
		events = append(events, HistoryEvent{Key: key, Ran: true, Result: results[key], InvokedAt: min(at, l.firstRunAt), ReturnedAt: lastReceivedAt[key]})
	}
	return Linearizable(events)
}

// ClaimTotals counts the keys and attempts of a ClaimLoad by their results.
type ClaimTotals struct {
	Keys           int
	ServedKeys     int // keys that were served
	ServedAttempts int // attempts that were served
	OutcomeUnknown int // keys that failed and were never served
	Rejected       int // attempts that were rejected
	Interrupted    int // attempts that timed out or whose connection ended
}

// Verify compares the callers' records with the number of runs of each key (effects). It describes each violation: a key that ran more
// than once, that was served but never ran, or whose responses are inconsistent or not linearizable.
func (l *ClaimLoad) Verify(effects map[string]int) (ClaimTotals, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := append([]string(nil), l.violations...)
	if violation, ok := l.linearizable(); !ok {
		violations = append(violations, "not linearizable: "+violation)
	}
	var totals ClaimTotals
	for key, record := range l.records {
		totals.Keys++
		totals.ServedAttempts += record.Served
		totals.Rejected += record.Rejected
		totals.Interrupted += record.Interrupted
		switch runs := effects[key]; {
		case runs > 1:
			violations = append(violations, fmt.Sprintf("%s ran %d times", key, runs))
		case runs == 0 && record.Served > 0:
			violations = append(violations, fmt.Sprintf("%s: served, but it never ran", key))
		}
		if record.Served > 0 {
			totals.ServedKeys++
		} else if record.Failed > 0 {
			totals.OutcomeUnknown++
		}
	}
	return totals, violations
}
