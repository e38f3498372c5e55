package overload

import (
	"math"
	"time"
)

const (
	windowBuckets = 10                     // of a sliding window, which is 5 s long
	bucketWidth   = 500 * time.Millisecond // of one of them
	minSamples    = 4                      // in the window before its mean is believed
)

// slidingWindow sums up values of the last five seconds, in buckets of time.
type slidingWindow struct {
	bucket [windowBuckets]int64 // number of the bucket that an entry holds, counted from 1
	sums   [windowBuckets]float64
	counts [windowBuckets]float64
}

// bucketAt returns the number of the bucket that a time belongs to.
func bucketAt(now time.Duration) int64 { return int64(now/bucketWidth) + 1 }

func (w *slidingWindow) add(now time.Duration, value float64) {
	number := bucketAt(now)
	k := number % windowBuckets
	if w.bucket[k] != number {
		w.bucket[k] = number
		w.sums[k] = 0
		w.counts[k] = 0
	}
	w.sums[k] += value
	w.counts[k]++
}

// sum returns the sum and the number of the values.
func (w *slidingWindow) sum(now time.Duration) (sum, count float64) {
	oldest := bucketAt(now) - windowBuckets
	for k := range w.bucket {
		if w.bucket[k] > oldest {
			sum += w.sums[k]
			count += w.counts[k]
		}
	}
	return sum, count
}

// mean returns the mean and the number of the values. Without values the mean is 0.
func (w *slidingWindow) mean(now time.Duration) (mean, count float64) {
	sum, count := w.sum(now)
	return sum / math.Max(1, count), count
}

// fromSeconds returns a number of seconds as a duration.
func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
