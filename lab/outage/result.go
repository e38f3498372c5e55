package main

import "time"

const (
	recoveredShare = 0.9              // share of the service before the outage at which a handler counts as recovered
	earlyPeriod    = 10 * time.Second // period after the first return in which earlyService is measured
	settleTime     = time.Second      // time at the start of a run that is excluded from the rates before the outage
)

// result summarizes a simulation run.
type result struct {
	// recoveryTimes is, by handler, the time from the first return until the end of the first second in which recoveredShare of the
	// rate before the outage is served; 0 if there is no such second.
	recoveryTimes []time.Duration
	// earlyService is the weight served in the ten seconds after the first return, as a share of the weight served in ten seconds before
	// the outage.
	earlyService float64
	// Maximum and mean number of recovery messages per node.
	maxMessages  int
	meanMessages float64
	// attempts is the mean number of attempts per request.
	attempts float64
}

// servedBetween returns the number of requests of a handler that were served between two times.
func (f *fleet) servedBetween(handlerIndex int, from, to time.Duration) float64 {
	sum := 0.0
	for i := from / bucketWidth; i < to/bucketWidth; i++ {
		sum += f.served[handlerIndex][i]
	}
	return sum
}

// ratesBefore returns the number of requests served per second before the outage, by handler.
func (f *fleet) ratesBefore() []float64 {
	var rates []float64
	for i := range handlers {
		rates = append(rates, f.servedBetween(i, settleTime, outageAt)/(outageAt-settleTime).Seconds())
	}
	return rates
}

// recoveryTime returns the time from the first return until a handler has served recoveredShare of its earlier rate for a second, or 0.
func (f *fleet) recoveryTime(handlerIndex int, rateBefore float64) time.Duration {
	for at := firstReturn; at+time.Second <= simEnd; at += bucketWidth {
		if f.servedBetween(handlerIndex, at, at+time.Second) >= recoveredShare*rateBefore {
			return at - firstReturn + time.Second
		}
	}
	return 0
}

// result returns the result of a completed run.
func (f *fleet) result() result {
	r := result{attempts: float64(f.attempts) / float64(f.requests)}
	weight, weightBefore := 0.0, 0.0
	for i, rate := range f.ratesBefore() {
		r.recoveryTimes = append(r.recoveryTimes, f.recoveryTime(i, rate))
		weight += handlers[i].weight * f.servedBetween(i, firstReturn, firstReturn+earlyPeriod)
		weightBefore += handlers[i].weight * rate * earlyPeriod.Seconds()
	}
	r.earlyService = weight / weightBefore
	for _, n := range f.nodes {
		r.maxMessages = max(r.maxMessages, n.messages)
		r.meanMessages += float64(n.messages) / float64(len(f.nodes))
	}
	return r
}
