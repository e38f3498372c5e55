package main

import "time"

const (
	recoveredShare = 0.9              // of the service before: from there on a handler counts as recovered
	firstSpan      = 10 * time.Second // after the first return
	settleTime     = time.Second      // at the start of a run, which does not count
)

// result is what a run came to.
type result struct {
	// recoveryTimes has, by handler, the time from the first return until 0.9 of the requests of before are served for a second; 0 if that
	// never happens.
	recoveryTimes []time.Duration
	// firstSeconds is the weight served in the ten seconds after the first return, as a share of that in ten seconds before the outage.
	firstSeconds float64
	// Messages of recovery, by node.
	maxMessages  int
	meanMessages float64
	// attempts is the mean number of a request.
	attempts float64
}

// servedBetween counts the requests of a handler that were served in a span of time.
func (f *fleet) servedBetween(handlerIndex int, from, to time.Duration) float64 {
	sum := 0.0
	for i := from / bucket; i < to/bucket; i++ {
		sum += f.served[handlerIndex][i]
	}
	return sum
}

// ratesBefore returns the requests served per second before the outage, by handler.
func (f *fleet) ratesBefore() []float64 {
	var rates []float64
	for i := range handlers {
		rates = append(rates, f.servedBetween(i, settleTime, outageAt)/(outageAt-settleTime).Seconds())
	}
	return rates
}

// recoveryTime returns after what time a handler serves nearly as many requests a second as before.
func (f *fleet) recoveryTime(handlerIndex int, rateBefore float64) time.Duration {
	for at := firstReturn; at+time.Second <= simEnd; at += bucket {
		if f.servedBetween(handlerIndex, at, at+time.Second) >= recoveredShare*rateBefore {
			return at - firstReturn + time.Second
		}
	}
	return 0
}

// result evaluates a run that is over.
func (f *fleet) result() result {
	r := result{attempts: float64(f.attempts) / float64(f.requests)}
	weight, weightBefore := 0.0, 0.0
	for i, rate := range f.ratesBefore() {
		r.recoveryTimes = append(r.recoveryTimes, f.recoveryTime(i, rate))
		weight += handlers[i].weight * f.servedBetween(i, firstReturn, firstReturn+firstSpan)
		weightBefore += handlers[i].weight * rate * firstSpan.Seconds()
	}
	r.firstSeconds = weight / weightBefore
	for _, n := range f.nodes {
		r.maxMessages = max(r.maxMessages, n.messages)
		r.meanMessages += float64(n.messages) / float64(len(f.nodes))
	}
	return r
}
