package overload

import (
	"math"
	"time"
)

const (
	windowBuckets = 10                     // number of buckets in a sliding window, which covers 5 s
	bucketWidth   = 500 * time.Millisecond // duration of a bucket
	minSamples    = 4                      // number of values that a window must contain before its mean is used
)

// slidingWindow sums values over the last five seconds, in buckets of fixed duration.
type slidingWindow struct {
	bucketNumbers [windowBuckets]int64 // number of the bucket that each element holds, counted from 1; 0 if unused
	sums          [windowBuckets]float64
	counts        [windowBuckets]float64
}

// bucketAt returns the number of the bucket that a time belongs to.
func bucketAt(now time.Duration) int64 { return int64(now/bucketWidth) + 1 }

func (w *slidingWindow) add(now time.Duration, value float64) {
	number := bucketAt(now)
	k := number % windowBuckets
	if w.bucketNumbers[k] != number {
		w.bucketNumbers[k] = number
		w.sums[k] = 0
		w.counts[k] = 0
	}
	w.sums[k] += value
	w.counts[k]++
}

// sum returns the sum and the number of the values in the window.
func (w *slidingWindow) sum(now time.Duration) (sum, count float64) {
	oldest := bucketAt(now) - windowBuckets
	for k := range w.bucketNumbers {
		if w.bucketNumbers[k] > oldest {
			sum += w.sums[k]
			count += w.counts[k]
		}
	}
	return sum, count
}

// mean returns the mean and the number of the values in the window. The mean of an empty window is 0.
func (w *slidingWindow) mean(now time.Duration) (mean, count float64) {
	sum, count := w.sum(now)
	return sum / math.Max(1, count), count
}

// fromSeconds converts a number of seconds to a duration.
func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
