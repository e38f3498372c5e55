package wal

import (
	"fmt"
	"strconv"
	"strings"
)

// LockName is the file that is locked while a process uses the store.
const LockName = "lock"

// Names of the other files, and ends of names. They are part of the format.
const (
	identityName       = "store"
	readAttemptsName   = "reading"
	logSuffix          = ".log"
	fingerprintsSuffix = ".prints"
	temporarySuffix    = ".new"
	quarantineSuffix   = ".aside"
)

// segmentDigits is the number of digits of a segment's number in file names.
const segmentDigits = 16

func logName(segment uint64) string {
	return fmt.Sprintf("%0*d%s", segmentDigits, segment, logSuffix)
}

func fingerprintsName(segment uint64) string {
	return fmt.Sprintf("%0*d%s", segmentDigits, segment, fingerprintsSuffix)
}

// segmentOf returns the segment's number in the name of a file with that suffix. ok is false if it
// isn't the name of one.
func parseSegmentName(name, suffix string) (segment uint64, ok bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != segmentDigits {
		return 0, false
	}
	segment, err := strconv.ParseUint(digits, 10, 64)
	return segment, err == nil && segment > 0
}
